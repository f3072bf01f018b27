#include "core/session/caller_session.h"

#include <algorithm>
#include <utility>

namespace carawayhaven {
namespace {

// Maximum share of the route's latency objective and of its statement timeout
// that a statement may spend in the queue. The remaining time is for running
// the statement and for one retry on another endpoint.
constexpr double kMaxQueueFraction = 0.5;

constexpr char kTransactionFailed[] =
    "the transaction has failed; end it by ROLLBACK";
constexpr char kNoTransaction[] = "no transaction is open";
constexpr char kNestedTransaction[] = "a transaction is open already";
constexpr char kNotAStatement[] = "not a statement";
constexpr char kUnknownName[] = "no prepared statement has that name";
constexpr char kNoSuchDatabase[] = "no route has that database name";
constexpr char kNoRoutesYet[] = "starting; connect to another proxy";
constexpr char kUnknownKey[] = "the key is not known";
constexpr char kConfigNotCurrent[] =
    "the configuration may be out of date; connect to another proxy";
constexpr char kOtherOrganisation[] =
    "the key belongs to another organisation now; the transaction is rolled "
    "back";
constexpr char kTooManyWaiting[] = "too many statements without an answer";
constexpr char kConnectionEnded[] =
    "the endpoint connection of the transaction ended; it is rolled back";
constexpr char kOutcomeUnknown[] =
    "no answer from the endpoint; the outcome is unknown";
constexpr char kNoAnswer[] = "no answer from the endpoint in time";
constexpr char kShuttingDown[] =
    "the proxy shuts down; the transaction is rolled back";
constexpr char kRolledBack[] = "the transaction was rolled back";

std::string RetryText(const JobResult& result) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(result.retry_after);
  return "not run (" + std::string(ReplyCodeName(result.reason)) +
         "); retry after " +
         std::to_string(std::max<std::int64_t>(milliseconds.count(), 1)) +
         " ms";
}

// A larger statement is released when it is answered.
constexpr std::size_t kMaxIdleBytes = 64 * 1024;

std::size_t BytesOf(const CallerStatement& statement) {
  return statement.id.size() + statement.text.size() + statement.name.size() +
         statement.value.size();
}

}  // namespace

CallerSession::CallerSession(SessionRouter& router, SessionObserver& observer,
                             Routes routes, CallerChannel& channel,
                             IsCurrent is_current)
    : router_(router),
      observer_(observer),
      routes_(std::move(routes)),
      is_current_(std::move(is_current)),
      channel_(&channel) {}

void CallerSession::OnConnect(std::string database, std::string key) {
  database_ = std::move(database);
  key_ = std::move(key);
  if (routes_().version == 0) {
    channel_->Reject(ReplyCode::kTooManyConnections, kNoRoutesYet);
    return;
  }
  const auto route = routes_().databases.find(database_);
  if (route == routes_().databases.end()) {
    RejectConnect(ReplyCode::kUnknownDatabase, kNoSuchDatabase);
    return;
  }
  route_ = route->second;
  if (!Authorise()) {
    RejectConnect(ReplyCode::kUnauthenticated, kUnknownKey);
    return;
  }
  channel_->Accept();
}

// A VM with an outdated configuration must not refuse what a later one permits,
// so that its caller tries another VM.
void CallerSession::RejectConnect(ReplyCode code, std::string_view message) {
  if (routes_().has_organisations && !is_current_()) {
    channel_->Reject(ReplyCode::kTooManyConnections, kConfigNotCurrent);
    return;
  }
  channel_->Reject(code, message);
}

bool CallerSession::Authorise() {
  const RouteTable& table = routes_();
  if (authorised_version_ == table.version) return authorised_;
  authorised_version_ = table.version;
  organisation_.clear();
  authorised_ = true;
  if (!table.has_organisations) return true;
  const auto key = table.keys.find(key_);
  if (key != table.keys.end()) {
    organisation_ = key->second;
    return true;
  }
  // If the database was removed, its last known route decides.
  const auto route = table.databases.find(database_);
  authorised_ = route == table.databases.end() ? route_.is_public
                                               : route->second.is_public;
  return authorised_;
}

bool CallerSession::AuthoriseStatement(TimePoint now) {
  if (!Authorise()) {
    EndTransaction(TransactionState::kIdle, now);
    closing_ = true;
    AnswerLocally(ReplyCode::kUnauthenticated, kUnknownKey, now);
    return false;
  }
  if (state_ == TransactionState::kOpen &&
      organisation_ != transaction_organisation_) {
    EndTransaction(TransactionState::kFailed, now);
    AnswerLocally(ReplyCode::kAborted, kOtherOrganisation, now);
    return false;
  }
  return true;
}

bool CallerSession::OnRoutesChanged(TimePoint now) {
  const bool authorised = Authorise();
  if (!authorised || organisation_ != transaction_organisation_) {
    EndIdleTransaction(now);
  }
  return authorised;
}

void CallerSession::OnStatement(CallerStatement statement, TimePoint now) {
  last_active_ = now;
  if (waiting_.size() >= kMaxWaiting) {
    if (channel_ != nullptr) {
      channel_->Reject(ReplyCode::kMalformed, kTooManyWaiting);
    }
    return;
  }
  waiting_bytes_ += BytesOf(statement);
  waiting_.push_back(std::move(statement));
  if (!busy_) RunNext(now);
}

void CallerSession::OnDisconnected(TimePoint now) {
  channel_ = nullptr;
  waiting_.clear();
  waiting_bytes_ = 0;
  if (job_ != nullptr) router_.Abandon(std::exchange(job_, nullptr), now);
  EndTransaction(TransactionState::kIdle, now);
}

std::size_t CallerSession::held_bytes() const {
  // The job has a copy of the running statement.
  return waiting_bytes_ + context_bytes_ + (busy_ ? 2 * BytesOf(current_) : 0);
}

bool CallerSession::IsIdle() const {
  return !busy_ && waiting_.empty() && state_ == TransactionState::kIdle;
}

void CallerSession::CloseWhenIdle() {
  closing_ = true;
  if (IsIdle() && channel_ != nullptr) channel_->CloseBetweenOperations();
}

// Notifies the caller of the rollback without waiting for its next statement,
// so that the caller can repeat the transaction on another proxy at once.
void CallerSession::Shutdown(TimePoint now) {
  closing_ = true;
  if (busy_ || channel_ == nullptr || channel_->HasUnreadInput()) return;
  const bool unreported =
      state_ == TransactionState::kOpen ||
      (state_ == TransactionState::kFailed && abort_unreported_);
  EndTransaction(TransactionState::kIdle, now);
  if (unreported) {
    channel_->Reject(ReplyCode::kAborted, kShuttingDown);
  } else {
    channel_->CloseBetweenOperations();
  }
}

void CallerSession::EndIdleTransaction(TimePoint now) {
  if (state_ != TransactionState::kOpen || busy_) return;
  EndTransaction(TransactionState::kFailed, now);
  abort_unreported_ = true;
}

void CallerSession::RunNext(TimePoint now) {
  while (!busy_ && !waiting_.empty() && channel_ != nullptr) {
    current_ = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= BytesOf(current_);
    busy_ = true;
    received_ = now;
    Run(now);
  }
  if (closing_ && IsIdle() && channel_ != nullptr) {
    channel_->CloseBetweenOperations();
  }
}

void CallerSession::Run(TimePoint now) {
  if (!AuthoriseStatement(now)) return;
  const StatementKind kind = current_.kind;
  if (kind == StatementKind::kMalformed) {
    AnswerLocally(ReplyCode::kMalformed, kNotAStatement, now);
    return;
  }
  if (state_ == TransactionState::kFailed) {
    if (kind == StatementKind::kRollback) {
      RunRollback(now);
    } else if (kind == StatementKind::kCommit) {
      state_ = TransactionState::kIdle;
      AnswerLocally(ReplyCode::kAborted, kRolledBack, now);
    } else if (std::exchange(abort_unreported_, false)) {
      AnswerLocally(ReplyCode::kAborted, kRolledBack, now);
    } else {
      AnswerLocally(ReplyCode::kMalformed, kTransactionFailed, now);
    }
    return;
  }
  switch (kind) {
    case StatementKind::kSet:
      RunSet(now);
      return;
    case StatementKind::kPrepare:
      RunPrepare(now);
      return;
    case StatementKind::kDeallocate:
      RunDeallocate(now);
      return;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      RunBegin(now);
      return;
    case StatementKind::kRollback:
      RunRollback(now);
      return;
    default:
      RunOnEndpoint(now);
  }
}

void CallerSession::RunSet(TimePoint now) {
  const auto [variable, is_new] = context_.values.try_emplace(current_.name);
  if (is_new) context_bytes_ += current_.name.size();
  context_bytes_ += current_.value.size() - variable->second.size();
  variable->second = current_.value;
  AnswerLocally(ReplyCode::kOk, "", now);
}

void CallerSession::RunPrepare(TimePoint now) {
  const auto [prepared, is_new] = context_.prepared.try_emplace(current_.name);
  if (is_new) context_bytes_ += current_.name.size();
  context_bytes_ += current_.value.size() - prepared->second.shape.size();
  prepared->second = {current_.access, current_.value};
  AnswerLocally(ReplyCode::kOk, "", now);
}

void CallerSession::RunDeallocate(TimePoint now) {
  const auto prepared = context_.prepared.find(current_.name);
  if (prepared == context_.prepared.end()) {
    AnswerLocally(ReplyCode::kUnknownStatement, kUnknownName, now);
    return;
  }
  context_bytes_ -= prepared->first.size() + prepared->second.shape.size();
  context_.prepared.erase(prepared);
  AnswerLocally(ReplyCode::kOk, "", now);
}

bool CallerSession::LoadRoute(TimePoint now) {
  const auto route = routes_().databases.find(database_);
  if (route == routes_().databases.end()) {
    AnswerLocally(ReplyCode::kUnknownDatabase, kNoSuchDatabase, now);
    return false;
  }
  route_ = route->second;
  return true;
}

// The transaction is opened on the endpoint together with its first statement.
void CallerSession::RunBegin(TimePoint now) {
  if (state_ != TransactionState::kIdle) {
    AnswerLocally(ReplyCode::kMalformed, kNestedTransaction, now);
    return;
  }
  if (!LoadRoute(now)) return;
  state_ = TransactionState::kOpen;
  read_only_ = current_.kind == StatementKind::kBeginReadOnly;
  has_written_ = false;
  transaction_received_ = received_;
  transaction_organisation_ = organisation_;
  connection_ = 0;
  abort_unreported_ = false;
  AnswerLocally(ReplyCode::kOk, "", now);
}

void CallerSession::RunRollback(TimePoint now) {
  if (state_ == TransactionState::kIdle) {
    AnswerLocally(ReplyCode::kMalformed, kNoTransaction, now);
    return;
  }
  EndTransaction(TransactionState::kIdle, now);
  AnswerLocally(ReplyCode::kOk, "", now);
}

bool CallerSession::HasEffect(const CallerStatement& statement) const {
  if (statement.kind == StatementKind::kWrite) return true;
  if (statement.kind != StatementKind::kExecute) return false;
  const auto found = context_.prepared.find(statement.name);
  return found != context_.prepared.end() &&
         found->second.access == AccessMode::kWrite;
}

void CallerSession::RunOnEndpoint(TimePoint now) {
  const bool in_transaction = state_ == TransactionState::kOpen;
  const bool commits = current_.kind == StatementKind::kCommit;
  if (commits && !in_transaction) {
    AnswerLocally(ReplyCode::kMalformed, kNoTransaction, now);
    return;
  }
  if (current_.kind == StatementKind::kExecute &&
      !context_.prepared.contains(current_.name)) {
    if (in_transaction) EndTransaction(TransactionState::kFailed, now);
    AnswerLocally(ReplyCode::kUnknownStatement, kUnknownName, now);
    return;
  }
  if (!in_transaction && !LoadRoute(now)) return;
  const bool writes = HasEffect(current_);
  auto job = std::make_shared<StatementJob>();
  job->owner = shared_from_this();
  job->statement = current_;
  job->service = route_.service;
  job->organisation = organisation_;
  const bool reads_only = in_transaction ? read_only_ : !writes;
  job->needs_primary =
      route_.consistency == Consistency::kPrimary || !reads_only;
  job->max_age = route_.max_age;
  const auto own_commit = own_commits_.find(route_.service);
  if (route_.consistency == Consistency::kReadYourWrites &&
      own_commit != own_commits_.end()) {
    // No replica is known to have a commit at an unknown position.
    if (!own_commit->second) job->needs_primary = true;
    job->session_position = own_commit->second.value_or(LogPosition{});
  }
  job->received = received_;
  job->deadline = received_ + route_.statement_timeout;
  job->priority = route_.priority;
  job->max_queue_wait = std::chrono::duration_cast<Duration>(
      kMaxQueueFraction *
      std::min(route_.latency_objective, route_.statement_timeout));
  job->commits = commits;
  job->has_effect = commits ? has_written_ : writes;
  if (in_transaction && connection_ == 0) {
    job->received = transaction_received_;
    job->begin = read_only_ ? EndpointStatementKind::kBeginReadOnly
                            : EndpointStatementKind::kBegin;
  }
  if (in_transaction && writes) has_written_ = true;
  job_ = job;
  if (connection_ != 0) {
    router_.SubmitInTransaction(connection_, job, now);
  } else {
    router_.Submit(job, now);
  }
}

void CallerSession::OnJobDone(const JobResult& result, TimePoint now) {
  const std::shared_ptr<StatementJob> job = std::exchange(job_, nullptr);
  if (channel_ == nullptr) {
    if (result.connection != 0) router_.RollBack(result.connection, *this, now);
    return;
  }
  const bool in_transaction = state_ == TransactionState::kOpen;
  const bool commits = current_.kind == StatementKind::kCommit;
  const bool succeeded = result.end == JobResult::End::kAnswered &&
                         result.reply.code == ReplyCode::kOk;
  std::string cause;
  StatementReply reply = ReplyFor(result, &cause);
  if (!in_transaction) {
    state_ = TransactionState::kIdle;
  } else if (commits) {
    connection_ = 0;
    state_ = TransactionState::kIdle;
  } else if (succeeded && result.connection != 0) {
    connection_ = result.connection;
  } else {
    // The router has already ended the transaction on the endpoint.
    connection_ = 0;
    state_ = TransactionState::kFailed;
  }
  if (succeeded && job != nullptr && job->has_effect &&
      (commits || !in_transaction)) {
    std::optional<LogPosition>& own_commit = own_commits_[job->service];
    const std::optional<LogPosition>& position = result.reply.position;
    own_commit = position ? std::max(own_commit, position) : std::nullopt;
  }
  Answer(std::move(reply), cause, now);
}

// Reports only what is certain. Reporting that nothing took effect requires
// that the endpoint refused the statement, that the statement was not sent, or
// that its transaction was not committed.
StatementReply CallerSession::ReplyFor(const JobResult& result,
                                       std::string* cause) {
  const bool in_transaction = state_ == TransactionState::kOpen;
  const bool commits = current_.kind == StatementKind::kCommit;
  const bool may_persist =
      commits ? has_written_ : HasEffect(current_) && !in_transaction;
  StatementReply reply;
  switch (result.end) {
    case JobResult::End::kAnswered:
      reply = result.reply;
      if (reply.code == ReplyCode::kOk) break;
      *cause = "endpoint";
      if (reply.code == ReplyCode::kOther ||
          (commits && (reply.code == ReplyCode::kTimeout ||
                       reply.code == ReplyCode::kFailed))) {
        reply.code = may_persist ? ReplyCode::kInDoubt : ReplyCode::kAborted;
      } else if (in_transaction && GuaranteesNotRun(reply.code)) {
        reply.code = ReplyCode::kAborted;
      } else if (reply.code == ReplyCode::kUnknownStatement) {
        reply.code = ReplyCode::kBusy;
      }
      break;
    case JobResult::End::kNotRun:
      reply.code = in_transaction ? ReplyCode::kAborted : ReplyCode::kBusy;
      reply.message = RetryText(result);
      *cause = "not_run";
      break;
    case JobResult::End::kLost:
    case JobResult::End::kTimedOut:
      *cause = result.end == JobResult::End::kLost ? "connection_lost"
                                                   : "no_answer_in_time";
      if (may_persist) {
        reply.code = ReplyCode::kInDoubt;
        reply.message = kOutcomeUnknown;
      } else if (in_transaction) {
        reply.code = ReplyCode::kAborted;
        reply.message = kConnectionEnded;
      } else {
        reply.code = ReplyCode::kTimeout;
        reply.message = kNoAnswer;
      }
      break;
  }
  return reply;
}

void CallerSession::OnTransactionLost(TimePoint /*now*/) {
  if (state_ != TransactionState::kOpen) return;
  connection_ = 0;
  state_ = TransactionState::kFailed;
  abort_unreported_ = true;
}

void CallerSession::AnswerLocally(ReplyCode code, std::string_view message,
                                  TimePoint now) {
  StatementReply reply;
  reply.code = code;
  reply.message = message;
  Answer(std::move(reply), code == ReplyCode::kOk ? "" : message, now);
}

void CallerSession::Answer(StatementReply reply, std::string_view cause,
                           TimePoint now) {
  reply.state = state_;
  observer_.OnStatementEnded(current_, reply, cause, now - received_);
  busy_ = false;
  if (BytesOf(current_) > kMaxIdleBytes) {
    // Assigning an empty statement would keep the buffers of its strings.
    CallerStatement released;
    std::swap(current_, released);
  }
  last_active_ = now;
  if (channel_ != nullptr) channel_->Reply(reply);
  if (!waiting_.empty() || closing_) RunNext(now);
}

void CallerSession::EndTransaction(TransactionState state, TimePoint now) {
  if (connection_ != 0) {
    router_.RollBack(std::exchange(connection_, 0), *this, now);
  }
  state_ = state;
}

}  // namespace carawayhaven
