#include "core/session/session_router.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Run time assumed of a statement on an endpoint that was not used yet.
constexpr Duration kAssumedRunTime = milliseconds(15);
// A connection that is not open by then is given up: several round trips
// between regions and the endpoint's time to open one.
constexpr Duration kOpenTimeout = milliseconds(1000);
// An answer that is just late leaves the connection usable; after that the
// connection counts as silent.
constexpr Duration kLateAnswerGrace = milliseconds(1000);
// A read is repeated elsewhere after this many times the expected response,
// within the bounds below.
constexpr int kHedgeFactor = 6;
constexpr Duration kLeastHedgeDelay = milliseconds(250);
constexpr Duration kGreatestHedgeDelay = milliseconds(600);
// Attempts of one statement, hedges included.
constexpr unsigned kMaxAttempts = 4;
// Pause before a statement goes to an endpoint again that refused it; doubles
// while the endpoint is full.
constexpr Duration kBusyPause = milliseconds(20);
constexpr unsigned kBusyDoublings = 3;
constexpr Duration kBehindPause = milliseconds(50);
constexpr Duration kNotPrimaryPause = milliseconds(100);
constexpr Duration kUnreachablePause = milliseconds(200);
// Pause before another connection is opened after failures, doubling.
constexpr Duration kFirstOpenPause = milliseconds(50);
constexpr Duration kLastOpenPause = milliseconds(1000);
// Connections of a VM that lost power linger for seconds; as soon as they end,
// the freed ones are wanted.
constexpr Duration kTooManyPause = milliseconds(150);
// Reads that replicas can serve count as this much slower on the primary,
// which alone can run writes.
constexpr double kPrimaryPenalty = 1.6;
// A successful write whose endpoint's right has expired waits this long for
// the right to be confirmed before it is in doubt.
constexpr Duration kRightWait = milliseconds(3000);
// Told to callers while a group has no primary.
constexpr Duration kFailoverRetry = milliseconds(1000);
// Waiting statements that are looked at after one found no connection.
constexpr int kMaxBlockedLooks = 8;
constexpr Duration kLeastRetryAfter = milliseconds(10);

JobResult Unanswered(JobResult::End end, const EndpointName& endpoint) {
  JobResult result;
  result.end = end;
  result.endpoint = endpoint;
  return result;
}

}  // namespace

SessionRouter::SessionRouter(SessionLink& link, RouterObserver& observer,
                             Distance distance)
    : link_(link), observer_(observer), distance_(std::move(distance)) {}

// A job and its session refer to each other until the job ends.
SessionRouter::~SessionRouter() {
  for (const auto& [id, connection] : connections_) {
    if (connection.job != nullptr) connection.job->owner.reset();
    link_.Close(id);
  }
  for (const auto& [name, service] : services_) {
    for (const JobPtr& job : service.queue) job->owner.reset();
  }
  for (const HeldAnswer& held : held_) held.job->owner.reset();
}

void SessionRouter::SetEndpoint(const EndpointRecord& record, TimePoint now) {
  auto [entry, is_new] = endpoints_.try_emplace(record.name, record);
  EndpointState& endpoint = entry->second;
  if (endpoint.record.service != record.service) {
    services_[endpoint.record.service].endpoints.erase(record.name);
  }
  services_[record.service].endpoints[record.name] = &endpoint;
  const bool restarted = !is_new && endpoint.record.started_ms != 0 &&
                         record.started_ms != endpoint.record.started_ms;
  const bool moved = endpoint.record.address != record.address;
  endpoint.record = record;
  endpoint.missing_since = TimePoint::max();
  if (!record.leaving) {
    endpoint.leaving_since = TimePoint::max();
  } else if (endpoint.leaving_since == TimePoint::max()) {
    endpoint.leaving_since = now;
  }
  if (restarted || moved) {
    endpoint.next_open = now;
    endpoint.position = {};
  }
  if (restarted || moved || (record.leaving && !record.claims_primary)) {
    CloseIdle(endpoint, 0, now);
  }
  Dispatch(record.service, now);
}

void SessionRouter::RemoveEndpoint(const EndpointName& name, TimePoint now) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return;
  if (found->second.missing_since == TimePoint::max()) {
    found->second.missing_since = now;
  }
}

void SessionRouter::SetConnectionLimit(const ServiceName& service,
                                       std::uint32_t limit, TimePoint now) {
  Service& limited = services_[service];
  limited.connection_limit = std::max(limit, 1U);
  for (const auto& [name, endpoint] : limited.endpoints) {
    CloseIdle(*endpoint, limited.connection_limit, now);
  }
}

void SessionRouter::CloseIdle(EndpointState& endpoint, std::size_t limit,
                              TimePoint now) {
  while (endpoint.connections.size() > limit && !endpoint.idle.empty()) {
    CloseConnection(*endpoint.idle.begin(), now);
  }
}

void SessionRouter::CloseIdleConnections(TimePoint now) {
  for (auto& [name, endpoint] : endpoints_) CloseIdle(endpoint, 0, now);
}

void SessionRouter::GrantRight(const ServiceName& service,
                               const PrimaryRight& right, TimePoint now) {
  const bool was_valid = rights_.Valid(service, now) != nullptr;
  const bool changed = rights_.Grant(service, right);
  if (!held_.empty()) ReviewHeldAnswers(now);
  if (changed || !was_valid) Dispatch(service, now);
}

void SessionRouter::ExpectPrimary(const ServiceName& name, TimePoint ready_at,
                                  TimePoint now) {
  Service& service = services_[name];
  service.primary_ready_at = ready_at;
  std::vector<JobPtr> hopeless;
  for (const JobPtr& job : service.queue) {
    if (!job->done && job->running == 0 && LacksPrimary(*job, service, now)) {
      hopeless.push_back(job);
    }
  }
  for (const JobPtr& job : hopeless) {
    service.queue.remove(job);
    Refuse(job, ReplyCode::kNotPrimary, now);
  }
}

bool SessionRouter::LacksPrimary(const StatementJob& job,
                                 const Service& service, TimePoint now) const {
  if (service.primary_ready_at <= job.deadline ||
      rights_.Valid(job.service, now) != nullptr) {
    return false;
  }
  return job.needs_primary || !RequiredPosition(job, service);
}

void SessionRouter::AddPosition(const ServiceName& service, TimePoint at,
                                LogPosition position) {
  services_[service].positions.Add(at, position);
}

const PositionHistory* SessionRouter::HistoryOf(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second.positions;
}

std::size_t SessionRouter::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, service] : services_) count += service.queue.size();
  return count;
}

void SessionRouter::Submit(const std::shared_ptr<StatementJob>& job,
                           TimePoint now) {
  Service& service = services_[job->service];
  service.retries.OnRequest();
  if (service.queue.empty() && TryStart(job, service, now)) return;
  if (LacksPrimary(*job, service, now)) {
    Refuse(job, ReplyCode::kNotPrimary, now);
    return;
  }
  job->queued = now;
  Enqueue(job);
  Dispatch(job->service, now);
  if (job->done || job->running > 0) return;
  const Duration wait = WaitAhead(*job, service, now);
  if (wait <= job->queue_limit) return;
  service.queue.remove(job);
  Refuse(job, ReplyCode::kBusy, now, wait);
}

Duration SessionRouter::WaitAhead(const StatementJob& job,
                                  const Service& service, TimePoint now) const {
  for (const JobPtr& ahead : service.queue) {
    if (ahead.get() == &job) break;
    const bool hedge = ahead->running > 0;
    if (ahead->done || hedge || ahead->needs_primary != job.needs_primary) {
      continue;
    }
    return now - ahead->queued;
  }
  return Duration{0};
}

void SessionRouter::SubmitOn(ConnectionId id,
                             const std::shared_ptr<StatementJob>& job,
                             TimePoint now) {
  job->bound = id;
  if (!connections_.contains(id)) {
    Finish(job, Unanswered(JobResult::End::kLost, ""), now);
    return;
  }
  Start(id, job, std::nullopt, now);
}

void SessionRouter::RollBack(ConnectionId id, TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  connection.holder.reset();
  if (connection.job != nullptr) {
    connection.job->done = true;
    CloseConnection(id, now);
    return;
  }
  connection.steps = {EndpointStatement{}};
  connection.steps.front().kind = EndpointStatementKind::kRollback;
  connection.step = 0;
  connection.give_up_at = now + kLateAnswerGrace;
  SendStep(id, now);
}

void SessionRouter::Abandon(const std::shared_ptr<StatementJob>& job,
                            TimePoint /*now*/) {
  job->done = true;
  job->owner.reset();
}

// Urgent routes first; within a priority by time of arrival.
void SessionRouter::Enqueue(const JobPtr& job) {
  std::list<JobPtr>& queue = services_[job->service].queue;
  auto place = queue.end();
  while (place != queue.begin()) {
    const StatementJob& before = **std::prev(place);
    if (before.priority < job->priority || (before.priority == job->priority &&
                                            before.received <= job->received)) {
      break;
    }
    --place;
  }
  queue.insert(place, job);
  WakeAt(job->deadline);
}

void SessionRouter::Dispatch(const ServiceName& name, TimePoint now) {
  Service& service = services_[name];
  bool primary_blocked = false;
  int blocked = 0;
  for (auto entry = service.queue.begin();
       entry != service.queue.end() && blocked < kMaxBlockedLooks;) {
    const JobPtr job = *entry;
    if (job->done) {
      entry = service.queue.erase(entry);
      continue;
    }
    if (job->not_before > now) {
      WakeAt(job->not_before);
      ++entry;
      continue;
    }
    if (job->needs_primary && primary_blocked) {
      ++entry;
      continue;
    }
    if (TryStart(job, service, now)) {
      entry = service.queue.erase(entry);
      continue;
    }
    if (job->needs_primary) primary_blocked = true;
    if (!job->needs_primary) ++blocked;
    ++entry;
  }
}

// What a replica has to hold for the job; nothing when no position of the
// primary is new enough to tell.
std::optional<LogPosition> SessionRouter::RequiredPosition(
    const StatementJob& job, const Service& service) const {
  const auto covering = service.positions.Covering(job.received - job.max_age);
  if (!covering) return std::nullopt;
  return std::max(*covering, service.positions.Surviving(job.session_position));
}

bool SessionRouter::TryStart(const JobPtr& job, Service& service,
                             TimePoint now) {
  std::optional<LogPosition> required;
  if (!job->needs_primary) required = RequiredPosition(*job, service);
  EndpointState* endpoint = ChooseEndpoint(*job, service, required, now);
  if (endpoint == nullptr) return false;
  const ConnectionId id = ChooseConnection(*endpoint, *job);
  if (id == 0) {
    OpenConnection(*endpoint, now);
    return false;
  }
  const PrimaryRight* right = rights_.Valid(job->service, now);
  if (right != nullptr && right->endpoint == endpoint->record.name) {
    required.reset();
  } else if (required) {
    ++stats_.sent_to_replica;
  }
  Start(id, job, required, now);
  return true;
}

// Prefers endpoints with a free connection by expected response; without one,
// the endpoint to which a connection may be opened.
EndpointState* SessionRouter::ChooseEndpoint(
    const StatementJob& job, const Service& service,
    std::optional<LogPosition> required, TimePoint now) {
  const bool replicas_allowed = required.has_value();
  const PrimaryRight* right = rights_.Valid(job.service, now);
  EndpointState* best = nullptr;
  EndpointState* openable = nullptr;
  double best_score = std::numeric_limits<double>::max();
  double openable_score = std::numeric_limits<double>::max();
  for (const auto& [name, state] : service.endpoints) {
    EndpointState& endpoint = *state;
    const bool is_primary = right != nullptr && right->endpoint == name;
    if (job.needs_primary ? !is_primary : !is_primary && !replicas_allowed) {
      continue;
    }
    if (!endpoint.AcceptsWork(now) ||
        (endpoint.leaving_since != TimePoint::max() && !is_primary)) {
      continue;
    }
    if (!is_primary && endpoint.IsProbablyBehind(*required, now)) {
      WakeAt(endpoint.behind_until);
      continue;
    }
    const auto avoided = job.avoided.find(name);
    if (avoided != job.avoided.end() && avoided->second > now) {
      WakeAt(avoided->second);
      continue;
    }
    const Duration baseline =
        distance_(endpoint.record.data_centre) + kAssumedRunTime;
    double score =
        static_cast<double>(endpoint.ExpectedResponse(baseline, now).count()) *
        (1.0 + static_cast<double>(endpoint.running) / endpoint.record.slots) *
        endpoint.RefusalPenalty();
    if (is_primary && !job.needs_primary && replicas_allowed) {
      score *= kPrimaryPenalty;
    }
    if (!endpoint.idle.empty()) {
      if (score < best_score) {
        best_score = score;
        best = &endpoint;
      }
    } else if (MayOpen(endpoint, service, now) && score < openable_score) {
      openable_score = score;
      openable = &endpoint;
    }
  }
  return best != nullptr ? best : openable;
}

ConnectionId SessionRouter::ChooseConnection(const EndpointState& endpoint,
                                             const StatementJob& job) const {
  ConnectionId best = 0;
  std::size_t best_cost = std::numeric_limits<std::size_t>::max();
  for (const ConnectionId id : endpoint.idle) {
    const std::size_t cost =
        SetupCost(job.owner->context(), connections_.at(id).context);
    if (cost < best_cost) {
      best_cost = cost;
      best = id;
    }
  }
  return best;
}

bool SessionRouter::MayOpen(const EndpointState& endpoint,
                            const Service& service, TimePoint now) const {
  return endpoint.connections.size() < service.connection_limit &&
         now >= endpoint.next_open && endpoint.opening < service.queue.size();
}

void SessionRouter::OpenConnection(EndpointState& endpoint, TimePoint now) {
  const ConnectionId id =
      link_.Open(endpoint.record.address, endpoint.record.service,
                 endpoint.record.name, *this);
  Connection& connection = connections_[id];
  connection.endpoint = endpoint.record.name;
  connection.give_up_at = now + kOpenTimeout;
  endpoint.connections.insert(id);
  ++endpoint.opening;
  ++stats_.connections_opened;
  WakeAt(connection.give_up_at);
}

void SessionRouter::Start(ConnectionId id, const JobPtr& job,
                          std::optional<LogPosition> required, TimePoint now) {
  Connection& connection = connections_.at(id);
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  endpoint.idle.erase(id);
  ++endpoint.running;
  ++job->running;
  const SessionContext& context = job->owner->context();
  const PreparedStatement* prepared = nullptr;
  if (job->statement.kind == StatementKind::kExecute) {
    const auto found = context.prepared.find(job->statement.name);
    if (found != context.prepared.end()) prepared = &found->second;
  }
  connection.job = job;
  connection.steps = PlanSetup(context, connection.context, prepared);
  connection.step = 0;
  if (job->begin) {
    EndpointStatement& begin = connection.steps.emplace_back();
    begin.kind = *job->begin;
    begin.min_position = std::exchange(required, std::nullopt);
  }
  EndpointStatement& last = connection.steps.emplace_back();
  last.id = job->statement.id;
  last.text = job->statement.text;
  last.min_position = required;
  if (prepared != nullptr) {
    last.kind = EndpointStatementKind::kExecute;
    last.name = EndpointStatementName(*prepared);
    last.value = job->statement.value;
  } else {
    last.kind = EndpointStatementKind::kCaller;
  }
  connection.give_up_at = job->deadline + kLateAnswerGrace;
  connection.hedge_at = TimePoint::max();
  const EndpointStatement& first_with_position =
      job->begin ? connection.steps[connection.steps.size() - 2] : last;
  Observe(RoutingDecision::Kind::kSent, *job, connection.endpoint,
          ReplyCode::kOk, now,
          first_with_position.min_position.value_or(LogPosition{}));
  WakeAt(job->deadline);
  SendStep(id, now);
}

void SessionRouter::SendStep(ConnectionId id, TimePoint now) {
  Connection& connection = connections_.at(id);
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  const PrimaryRight* right = rights_.Valid(endpoint.record.service, now);
  connection.sent = now;
  connection.sent_with_right =
      right != nullptr && right->endpoint == connection.endpoint;
  if (!link_.Send(id, connection.steps[connection.step])) {
    const EndpointName name = connection.endpoint;
    const JobPtr job = Detach(id, false, now);
    if (job != nullptr && !job->done) {
      if (job->begin || !job->may_have_run) {
        Retry(job, name, ReplyCode::kBusy, now);
      } else {
        OnNoAnswer(job, name, JobResult::End::kLost, now);
      }
    }
    return;
  }
  const bool last = connection.step + 1 == connection.steps.size();
  if (connection.job == nullptr || !last) return;
  connection.job->may_have_run = true;
  const bool repeatable = !connection.job->has_effect &&
                          !connection.job->begin && !connection.in_transaction;
  if (repeatable && connection.job->attempts + 1 < kMaxAttempts) {
    const Duration expected = endpoint.ExpectedResponse(
        distance_(endpoint.record.data_centre) + kAssumedRunTime, now);
    connection.hedge_at =
        now + std::clamp(expected * kHedgeFactor, kLeastHedgeDelay,
                         kGreatestHedgeDelay);
    WakeAt(connection.hedge_at);
  }
}

void SessionRouter::OnSessionOpened(ConnectionId id,
                                    const StatementReply& reply,
                                    TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  connection.open = true;
  connection.give_up_at = TimePoint::max();
  --endpoint.opening;
  if (std::exchange(endpoint.failed_opens, 0U) > 0) {
    observer_.OnEndpointReachable(connection.endpoint, true, ReplyCode::kOk);
  }
  endpoint.NoteAnswer(now);
  if (reply.position) endpoint.position = *reply.position;
  endpoint.idle.insert(id);
  Dispatch(endpoint.record.service, now);
}

void SessionRouter::OnSessionClosed(ConnectionId id, ReplyCode code,
                                    TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool was_open = found->second.open;
  const bool at_last_step =
      found->second.step + 1 == found->second.steps.size();
  const EndpointName name = found->second.endpoint;
  const std::shared_ptr<JobOwner> holder = found->second.holder;
  EndpointState& endpoint = endpoints_.at(name);
  const ServiceName service = endpoint.record.service;
  const JobPtr job = Detach(id, false, now);
  if (!was_open) {
    if (endpoint.failed_opens++ == 0) {
      observer_.OnEndpointReachable(name, false, code);
    }
    const unsigned doublings = std::min(endpoint.failed_opens - 1, 5U);
    // A refusal of one connection too many is an answer.
    if (code == ReplyCode::kTooManyConnections) {
      endpoint.next_open = now + kTooManyPause;
      endpoint.NoteAnswer(now);
    } else {
      endpoint.next_open =
          now + std::min(kFirstOpenPause * (1 << doublings), kLastOpenPause);
      endpoint.NoteFailure(now);
    }
    WakeAt(endpoint.next_open);
  } else if (job != nullptr) {
    endpoint.NoteFailure(now);
  }
  if (job != nullptr && !job->done) {
    if (at_last_step) {
      OnNoAnswer(job, name, JobResult::End::kLost, now);
    } else {
      Retry(job, name, ReplyCode::kBusy, now);
    }
  } else if (job == nullptr && holder != nullptr) {
    holder->OnTransactionLost(now);
  }
  Dispatch(service, now);
}

void SessionRouter::OnReply(ConnectionId id, const StatementReply& reply,
                            TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  const ServiceName service = endpoint.record.service;
  endpoint.NoteAnswer(now);
  NotePosition(connection, reply);
  if (connection.step >= connection.steps.size()) {
    // An answer to nothing: the two ends disagree about the connection.
    CloseConnection(id, now);
  } else if (connection.step + 1 < connection.steps.size()) {
    OnSetupReply(id, reply, now);
  } else {
    OnFinalReply(id, reply, now);
  }
  Dispatch(service, now);
}

void SessionRouter::NotePosition(const Connection& connection,
                                 const StatementReply& reply) {
  if (!reply.position) return;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  endpoint.position = *reply.position;
  if (connection.sent_with_right) {
    services_[endpoint.record.service].positions.Add(connection.sent,
                                                     *reply.position);
  }
}

// A statement that prepares the connection was answered. Until the last step
// nothing of the caller has run, so a failure here is a retry elsewhere.
void SessionRouter::OnSetupReply(ConnectionId id, const StatementReply& reply,
                                 TimePoint now) {
  Connection& connection = connections_.at(id);
  const EndpointStatement& step = connection.steps[connection.step];
  if (reply.code == ReplyCode::kOk) {
    ApplySetup(step, connection.context);
    if (step.kind == EndpointStatementKind::kBegin ||
        step.kind == EndpointStatementKind::kBeginReadOnly) {
      connection.in_transaction = true;
    }
    if (connection.job->done) {
      const bool open = connection.in_transaction;
      Detach(id, true, now);
      if (open) RollBack(id, now);
      return;
    }
    ++connection.step;
    SendStep(id, now);
    return;
  }
  const EndpointName name = connection.endpoint;
  if (reply.code == ReplyCode::kBehind) {
    endpoints_.at(name).NoteBehind(step.min_position.value_or(LogPosition{}),
                                   now);
  }
  const bool held = connection.in_transaction;
  const bool usable =
      IsNotRun(reply.code) && !held && reply.state == TransactionState::kIdle;
  const JobPtr job = Detach(id, usable, now);
  if (job->done) return;
  if (held) {
    // Inside a transaction there is no other connection to go to.
    Finish(job, Unanswered(JobResult::End::kLost, ""), now);
  } else {
    Retry(job, name, reply.code, now);
  }
}

void SessionRouter::OnFinalReply(ConnectionId id, const StatementReply& reply,
                                 TimePoint now) {
  Connection& connection = connections_.at(id);
  const EndpointName name = connection.endpoint;
  EndpointState& endpoint = endpoints_.at(name);
  if (connection.job == nullptr) {
    const bool ended =
        reply.code == ReplyCode::kOk && reply.state == TransactionState::kIdle;
    connection.in_transaction = false;
    Detach(id, ended, now);
    return;
  }
  const std::optional<LogPosition> required =
      connection.steps.back().min_position;
  if (reply.code == ReplyCode::kBehind) {
    endpoint.NoteBehind(required.value_or(LogPosition{}), now);
  } else {
    endpoint.NoteOutcome(reply.code == ReplyCode::kBusy);
    if (reply.code != ReplyCode::kBusy) {
      endpoint.ObserveResponse(now - connection.sent, now);
    }
    if (required) endpoint.behind_count = 0;
  }
  const bool first_in_transaction = connection.job->begin.has_value();
  const bool in_transaction =
      connection.in_transaction && !connection.job->commits;
  const bool answered_ok = reply.code == ReplyCode::kOk;
  const bool stays_open =
      in_transaction && answered_ok && reply.state == TransactionState::kOpen;
  connection.in_transaction = reply.state != TransactionState::kIdle;
  const bool given_up = connection.job->done;
  if (stays_open && !given_up) connection.holder = connection.job->owner;
  const bool roll_back = connection.in_transaction && (given_up || !stays_open);
  const JobPtr job = Detach(id, true, now);
  if (roll_back) RollBack(id, now);
  if (given_up) return;
  const bool unmoved = IsNotRun(reply.code) && !job->commits;
  if (unmoved && (first_in_transaction || !in_transaction)) {
    Retry(job, name, reply.code, now);
    return;
  }
  if (reply.code == ReplyCode::kFailed && !job->has_effect && !in_transaction &&
      !job->commits && job->attempts == 0 &&
      services_[job->service].retries.TryTake(now)) {
    Retry(job, name, reply.code, now);
    return;
  }
  JobResult result;
  result.end = JobResult::End::kAnswered;
  result.reply = reply;
  result.endpoint = name;
  if (stays_open) result.connection = id;
  const bool committed =
      job->has_effect && answered_ok && (job->commits || !in_transaction);
  const PrimaryRight* right = rights_.Valid(job->service, now);
  if (committed && (right == nullptr || right->endpoint != name)) {
    Observe(RoutingDecision::Kind::kHeldForRight, *job, name, reply.code, now);
    held_.push_back({job, std::move(result), now + kRightWait});
    WakeAt(now + kRightWait);
    ReviewHeldAnswers(now);
    return;
  }
  Finish(job, result, now);
}

SessionRouter::JobPtr SessionRouter::Detach(ConnectionId id, bool keep,
                                            TimePoint now) {
  Connection& connection = connections_.at(id);
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  JobPtr job = std::move(connection.job);
  connection.job = nullptr;
  connection.steps.clear();
  connection.step = 0;
  connection.hedge_at = TimePoint::max();
  connection.give_up_at = TimePoint::max();
  if (job != nullptr) {
    --endpoint.running;
    --job->running;
  }
  const bool leaving = endpoint.leaving_since != TimePoint::max() &&
                       !endpoint.record.claims_primary;
  if (!keep || (leaving && !connection.in_transaction)) {
    CloseConnection(id, now);
  } else if (!connection.in_transaction) {
    connection.holder.reset();
    endpoint.idle.insert(id);
    CloseIdle(endpoint, services_[endpoint.record.service].connection_limit,
              now);
  }
  return job;
}

void SessionRouter::CloseConnection(ConnectionId id, TimePoint /*now*/) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  EndpointState& endpoint = endpoints_.at(found->second.endpoint);
  if (!found->second.open) --endpoint.opening;
  if (found->second.job != nullptr) {
    --endpoint.running;
    --found->second.job->running;
  }
  endpoint.connections.erase(id);
  endpoint.idle.erase(id);
  connections_.erase(found);
  link_.Close(id);
}

// Queues a job again that certainly did not run, or a read that may run twice.
void SessionRouter::Retry(const JobPtr& job, const EndpointName& endpoint,
                          ReplyCode code, TimePoint now) {
  if (job->bound != 0) {
    Finish(job, Unanswered(JobResult::End::kLost, endpoint), now);
    return;
  }
  ++job->attempts;
  job->last_refusal = code;
  job->may_have_run = false;
  Duration pause = kUnreachablePause;
  if (code == ReplyCode::kBusy) {
    pause = kBusyPause * (1 << std::min(job->attempts - 1, kBusyDoublings));
  }
  if (code == ReplyCode::kBehind) pause = kBehindPause;
  if (code == ReplyCode::kNotPrimary) pause = kNotPrimaryPause;
  job->avoided[endpoint] = now + pause;
  Observe(RoutingDecision::Kind::kRetried, *job, endpoint, code, now);
  if (now >= job->deadline) {
    Refuse(job, code, now);
    return;
  }
  Enqueue(job);
}

void SessionRouter::OnNoAnswer(const JobPtr& job, const EndpointName& endpoint,
                               JobResult::End end, TimePoint now) {
  if (job->done || job->running > 0) return;
  const bool lost = end == JobResult::End::kLost;
  Observe(
      lost ? RoutingDecision::Kind::kLost : RoutingDecision::Kind::kTimedOut,
      *job, endpoint, ReplyCode::kOther, now);
  const bool repeatable =
      job->begin.has_value() || (!job->has_effect && !job->commits);
  if (lost && repeatable && job->bound == 0 && job->attempts < kMaxAttempts &&
      now < job->deadline) {
    Retry(job, endpoint, ReplyCode::kOther, now);
    return;
  }
  Finish(job, Unanswered(end, endpoint), now);
}

void SessionRouter::Refuse(const JobPtr& job, ReplyCode reason, TimePoint now,
                           Duration retry_after) {
  Observe(RoutingDecision::Kind::kRefused, *job, "", reason, now);
  JobResult result;
  result.end = JobResult::End::kNotRun;
  result.reason = reason;
  const Service& service = services_[job->service];
  std::uint32_t slots = 1;
  for (const auto& [name, endpoint] : service.endpoints) {
    slots += endpoint->record.slots;
  }
  if (retry_after > Duration{0}) {
    result.retry_after = retry_after;
  } else if (!job->needs_primary ||
             rights_.Valid(job->service, now) != nullptr) {
    result.retry_after = std::max<Duration>(
        kLeastRetryAfter,
        kAssumedRunTime * static_cast<int>(service.queue.size()) / slots);
  } else if (service.primary_ready_at > now) {
    result.retry_after = service.primary_ready_at - now;
  } else {
    result.retry_after = kFailoverRetry;
  }
  Finish(job, result, now);
}

void SessionRouter::Finish(const JobPtr& job, const JobResult& result,
                           TimePoint now) {
  if (std::exchange(job->done, true)) return;
  if (result.end == JobResult::End::kAnswered) {
    Observe(RoutingDecision::Kind::kAnswered, *job, result.endpoint,
            result.reply.code, now);
  }
  const std::shared_ptr<JobOwner> owner = std::move(job->owner);
  job->owner = nullptr;
  owner->OnJobDone(result, now);
}

// A write that succeeded at an endpoint whose right had expired: when the right
// was renewed there was no promotion, otherwise the write may be lost.
void SessionRouter::ReviewHeldAnswers(TimePoint now) {
  std::list<HeldAnswer> settled;
  for (auto entry = held_.begin(); entry != held_.end();) {
    const PrimaryRight* right = rights_.Valid(entry->job->service, now);
    if (right == nullptr && now < entry->until) {
      ++entry;
      continue;
    }
    if (right == nullptr || right->endpoint != entry->result.endpoint) {
      entry->result.end = JobResult::End::kLost;
    }
    settled.splice(settled.end(), held_, entry++);
  }
  for (HeldAnswer& held : settled) {
    Finish(held.job, held.result, now);
  }
}

void SessionRouter::Tick(TimePoint now) {
  if (now < next_tick_) return;
  next_tick_ = TimePoint::max();
  if (!held_.empty()) ReviewHeldAnswers(now);
  for (const HeldAnswer& held : held_) WakeAt(held.until);
  TickConnections(now);
  TickQueues(now);
}

void SessionRouter::TickConnections(TimePoint now) {
  std::vector<ConnectionId> due;
  for (const auto& [id, connection] : connections_) {
    TimePoint next = std::min(connection.hedge_at, connection.give_up_at);
    if (connection.job != nullptr && !connection.job->done) {
      next = std::min(next, connection.job->deadline);
    }
    if (next <= now) {
      due.push_back(id);
    } else {
      WakeAt(next);
    }
  }
  for (const ConnectionId id : due) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    Connection& connection = found->second;
    const EndpointName name = connection.endpoint;
    const JobPtr job = connection.job;
    if (job == nullptr || job->done) {
      if (connection.give_up_at <= now) {
        endpoints_.at(name).NoteFailure(now);
        OnSessionClosed(id, ReplyCode::kTimeout, now);
      } else {
        WakeAt(connection.give_up_at);
      }
      continue;
    }
    if (job->deadline <= now) {
      const bool last = connection.step + 1 == connection.steps.size();
      const bool in_transaction =
          connection.in_transaction || job->begin.has_value() || job->commits;
      endpoints_.at(name).NoteFailure(now);
      if (!last || in_transaction) {
        CloseConnection(id, now);
        if (!last && !job->may_have_run && job->running == 0 &&
            !in_transaction) {
          Refuse(job, ReplyCode::kBusy, now);
          continue;
        }
      } else {
        WakeAt(connection.give_up_at);
      }
      Observe(RoutingDecision::Kind::kTimedOut, *job, name, ReplyCode::kTimeout,
              now);
      Finish(job, Unanswered(JobResult::End::kTimedOut, name), now);
      continue;
    }
    // A read without an answer: repeated elsewhere, the first answer counts.
    connection.hedge_at = TimePoint::max();
    WakeAt(job->deadline);
    if (services_[job->service].retries.TryTake(now)) {
      ++job->attempts;
      job->avoided[name] = now + kUnreachablePause;
      Observe(RoutingDecision::Kind::kHedged, *job, name, ReplyCode::kTimeout,
              now);
      Enqueue(job);
    }
  }
}

void SessionRouter::TickQueues(TimePoint now) {
  std::vector<JobPtr> expired;
  for (auto& [name, service] : services_) {
    for (auto entry = service.queue.begin(); entry != service.queue.end();) {
      const JobPtr& job = *entry;
      if (job->done) {
        entry = service.queue.erase(entry);
        continue;
      }
      if (job->deadline <= now) {
        if (job->running == 0) expired.push_back(job);
        entry = service.queue.erase(entry);
        continue;
      }
      WakeAt(job->deadline);
      ++entry;
    }
    Dispatch(name, now);
  }
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.next_open > now) WakeAt(endpoint.next_open);
  }
  for (const JobPtr& job : expired) Refuse(job, job->last_refusal, now);
}

Duration SessionRouter::RightLeft(const StatementJob& job,
                                  TimePoint now) const {
  const PrimaryRight* right = rights_.Last(job.service);
  return right == nullptr ? Duration{-1} : right->expires - now;
}

void SessionRouter::Observe(RoutingDecision::Kind kind, const StatementJob& job,
                            std::string_view endpoint, ReplyCode code,
                            TimePoint now, LogPosition required) {
  RoutingDecision decision;
  decision.kind = kind;
  decision.job = &job;
  decision.endpoint = endpoint;
  decision.required = required;
  decision.code = code;
  decision.elapsed = now - job.received;
  decision.right_left = RightLeft(job, now);
  observer_.OnRouting(decision);
}

}  // namespace carawayhaven
