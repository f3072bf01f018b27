#include "core/queue/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace carawayhaven {
namespace {

bool NeedsConfirmation(const Request& request, AcknowledgeMode mode) {
  if (request.kind == RequestKind::kBegin ||
      request.kind == RequestKind::kRollback) {
    return false;
  }
  const bool in_open_transaction =
      !request.transaction.empty() && request.kind == RequestKind::kStatement;
  if (in_open_transaction) return false;
  if (request.kind == RequestKind::kStatement &&
      request.access == AccessMode::kRead) {
    return !request.max_age.has_value();
  }
  return mode == AcknowledgeMode::kReplica;
}

Outcome OutcomeOf(const EndpointAnswer& answer, const Request& request) {
  Outcome outcome;
  outcome.position = answer.position;
  outcome.payload = answer.payload;
  outcome.from_replica = answer.role == EndpointRole::kReplica;
  switch (answer.status) {
    case EndpointStatus::kOk:
      outcome.verdict = request.kind == RequestKind::kResolve && !answer.ran
                            ? Verdict::kNotRun
                            : Verdict::kRan;
      return outcome;
    case EndpointStatus::kDuplicate:
      outcome.verdict = Verdict::kRan;
      return outcome;
    case EndpointStatus::kConflict:
      outcome.verdict = Verdict::kRan;
      outcome.reason = Reason::kConstraint;
      return outcome;
    case EndpointStatus::kBehind:
      outcome.reason = Reason::kBehind;
      return outcome;
    case EndpointStatus::kStaleTerm:
      outcome.reason = Reason::kStaleTerm;
      return outcome;
    case EndpointStatus::kNotPrimary:
    case EndpointStatus::kRefused:
      outcome.reason = Reason::kNotPrimary;
      return outcome;
    case EndpointStatus::kBusy:
      outcome.reason = Reason::kBusy;
      return outcome;
    case EndpointStatus::kCancelled:
      outcome.reason = Reason::kCancelled;
      return outcome;
    case EndpointStatus::kError:
      outcome.reason = Reason::kStatementError;
      return outcome;
  }
  return outcome;
}

}  // namespace

EndpointPool::EndpointPool(EndpointPoolOptions options, EndpointLink& link,
                           EndpointPoolHandler& handler)
    : options_(std::move(options)), link_(link), handler_(handler) {}

EndpointPool::~EndpointPool() {
  for (const auto& [id, connection] : connections_) link_.Close(id);
  if (confirm_connection_ != 0) link_.Close(confirm_connection_);
}

void EndpointPool::Submit(Request request, Term term, OutcomeCallback done,
                          TimePoint now) {
  SetTerm(term);
  Work work{std::move(request), std::move(done)};
  if (draining_ && work.request.transaction.empty()) {
    EndWork(work, Verdict::kNotRun, Reason::kLeaving);
    return;
  }
  queue_.push_back(std::move(work));
  Dispatch(now);
}

void EndpointPool::SetTerm(Term term) { term_ = std::max(term_, term); }

void EndpointPool::Drain(TimePoint /*now*/) {
  draining_ = true;
  std::deque<Work> waiting = std::exchange(queue_, {});
  for (Work& work : waiting) {
    EndWork(work, Verdict::kNotRun, Reason::kLeaving);
  }
}

bool EndpointPool::idle() const {
  const auto in_use = [](const auto& entry) {
    return entry.second.busy || !entry.second.transaction.empty();
  };
  return queue_.empty() && unconfirmed_.empty() &&
         std::none_of(connections_.begin(), connections_.end(), in_use);
}

void EndpointPool::Tick(TimePoint now) {
  std::deque<Work> kept;
  for (Work& work : std::exchange(queue_, {})) {
    if (work.request.deadline <= now) {
      EndWork(work, Verdict::kNotRun, Reason::kDeadline);
    } else {
      kept.push_back(std::move(work));
    }
  }
  queue_ = std::move(kept);
  for (auto& [id, connection] : connections_) {
    if (connection.busy && connection.work.done != nullptr &&
        connection.work.request.deadline <= now) {
      EndWork(connection.work, Verdict::kMayHaveRun, Reason::kDeadline);
    }
  }
  std::vector<Unconfirmed> waiting;
  for (Unconfirmed& entry : std::exchange(unconfirmed_, {})) {
    if (entry.work.request.deadline <= now) {
      EndWork(entry.work, Verdict::kMayHaveRun, Reason::kDeadline);
    } else {
      waiting.push_back(std::move(entry));
    }
  }
  unconfirmed_ = std::move(waiting);
  Dispatch(now);
}

TimePoint EndpointPool::NextTick() const {
  TimePoint next = TimePoint::max();
  for (const Work& work : queue_) next = std::min(next, work.request.deadline);
  for (const auto& [id, connection] : connections_) {
    if (connection.busy && connection.work.done != nullptr) {
      next = std::min(next, connection.work.request.deadline);
    }
  }
  for (const Unconfirmed& entry : unconfirmed_) {
    next = std::min(next, entry.work.request.deadline);
  }
  return next;
}

void EndpointPool::OnConnectionOpened(ConnectionId connection, TimePoint now) {
  if (connection == confirm_connection_) {
    confirm_connection_open_ = true;
    SendConfirm(now);
    return;
  }
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second.open = true;
  Dispatch(now);
}

void EndpointPool::OnConnectionClosed(ConnectionId connection, TimePoint now) {
  if (connection == confirm_connection_) {
    confirm_connection_ = 0;
    confirm_connection_open_ = false;
    confirm_correlation_ = 0;
    return;
  }
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  Connection lost = std::move(found->second);
  connections_.erase(found);
  if (lost.busy) {
    --running_;
    const bool uncommitted = !lost.transaction.empty() &&
                             lost.work.request.kind != RequestKind::kCommit;
    EndWork(lost.work, uncommitted ? Verdict::kNotRun : Verdict::kMayHaveRun,
            Reason::kConnectionLost);
  }
  Dispatch(now);
}

void EndpointPool::OnAnswer(ConnectionId connection,
                            const EndpointAnswer& answer, TimePoint now) {
  handler_.OnEndpointAnswer(options_.endpoint, answer, now);
  if (connection == confirm_connection_) {
    if (answer.correlation != confirm_correlation_) return;
    confirm_correlation_ = 0;
    OnConfirmed(answer);
    SendConfirm(now);
    return;
  }
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.busy ||
      found->second.correlation != answer.correlation) {
    return;
  }
  Finish(found->second, answer, now);
  Dispatch(now);
}

void EndpointPool::Finish(Connection& connection, const EndpointAnswer& answer,
                          TimePoint now) {
  connection.busy = false;
  --running_;
  Work work = std::exchange(connection.work, {});
  const RequestKind kind = work.request.kind;
  if (kind == RequestKind::kCommit || kind == RequestKind::kRollback) {
    connection.transaction.clear();
  }
  if (work.done == nullptr) return;
  Outcome outcome = OutcomeOf(answer, work.request);
  outcome.served_by = options_.endpoint;
  const bool had_effect = answer.status == EndpointStatus::kOk ||
                          answer.status == EndpointStatus::kDuplicate ||
                          answer.status == EndpointStatus::kConflict;
  if (had_effect && NeedsConfirmation(work.request, options_.acknowledge)) {
    unconfirmed_.push_back(
        {std::move(work), std::move(outcome), confirm_round_ + 1});
    SendConfirm(now);
    return;
  }
  work.done(outcome);
}

// One confirmation is outstanding at a time and releases everything that had
// run before it was sent. A separate connection keeps it out of the queue.
void EndpointPool::SendConfirm(TimePoint /*now*/) {
  if (unconfirmed_.empty() || confirm_correlation_ != 0) return;
  if (confirm_connection_ == 0) {
    confirm_connection_ = link_.Open(options_.address, *this);
    return;
  }
  if (!confirm_connection_open_) return;
  EndpointCommand command;
  command.operation = EndpointOperation::kConfirm;
  command.correlation = next_correlation_++;
  command.term = term_;
  for (const Unconfirmed& entry : unconfirmed_) {
    command.min_position =
        std::max(command.min_position, entry.outcome.position);
  }
  if (link_.Send(confirm_connection_, command)) {
    confirm_correlation_ = command.correlation;
    ++confirm_round_;
  }
}

void EndpointPool::OnConfirmed(const EndpointAnswer& answer) {
  std::vector<Unconfirmed> kept;
  for (Unconfirmed& entry : std::exchange(unconfirmed_, {})) {
    const bool released =
        answer.status == EndpointStatus::kOk && entry.round <= confirm_round_;
    if (answer.status == EndpointStatus::kStaleTerm ||
        answer.status == EndpointStatus::kNotPrimary) {
      EndWork(entry.work, Verdict::kMayHaveRun, Reason::kStaleTerm);
    } else if (released) {
      entry.work.done(entry.outcome);
    } else {
      kept.push_back(std::move(entry));
    }
  }
  std::move(unconfirmed_.begin(), unconfirmed_.end(), std::back_inserter(kept));
  unconfirmed_ = std::move(kept);
}

void EndpointPool::Dispatch(TimePoint now) {
  std::deque<Work> kept;
  for (Work& work : std::exchange(queue_, {})) {
    const ConnectionId id =
        running_ < options_.slots ? FindConnectionFor(work.request) : 0;
    if (id != 0) {
      StartOn(id, connections_[id], std::move(work), now);
      continue;
    }
    const bool transaction_gone =
        !work.request.transaction.empty() &&
        work.request.kind != RequestKind::kBegin &&
        std::none_of(connections_.begin(), connections_.end(),
                     [&work](const auto& entry) {
                       return entry.second.transaction ==
                              work.request.transaction;
                     });
    if (transaction_gone) {
      EndWork(work, Verdict::kNotRun, Reason::kUnknownTransaction);
    } else {
      kept.push_back(std::move(work));
    }
  }
  std::move(queue_.begin(), queue_.end(), std::back_inserter(kept));
  queue_ = std::move(kept);
  const std::size_t wanted =
      std::min<std::size_t>(options_.slots + 1, options_.connections);
  while (!queue_.empty() && connections_.size() < wanted) {
    connections_.emplace(link_.Open(options_.address, *this), Connection{});
  }
}

ConnectionId EndpointPool::FindConnectionFor(const Request& request) {
  const bool joins =
      !request.transaction.empty() && request.kind != RequestKind::kBegin;
  for (auto& [id, connection] : connections_) {
    if (!connection.open || connection.busy) continue;
    if (joins ? connection.transaction == request.transaction
              : connection.transaction.empty()) {
      return id;
    }
  }
  return 0;
}

void EndpointPool::StartOn(ConnectionId id, Connection& connection, Work work,
                           TimePoint /*now*/) {
  EndpointCommand command = MakeCommand(work.request);
  command.correlation = next_correlation_++;
  if (!link_.Send(id, command)) {
    EndWork(work, Verdict::kNotRun, Reason::kConnectionLost);
    return;
  }
  if (work.request.kind == RequestKind::kBegin) {
    connection.transaction = work.request.transaction;
  }
  connection.busy = true;
  connection.correlation = command.correlation;
  connection.work = std::move(work);
  ++running_;
}

EndpointCommand EndpointPool::MakeCommand(const Request& request) const {
  EndpointCommand command;
  switch (request.kind) {
    case RequestKind::kStatement:
      command.operation = EndpointOperation::kExecute;
      break;
    case RequestKind::kBegin:
      command.operation = EndpointOperation::kBegin;
      break;
    case RequestKind::kCommit:
      command.operation = EndpointOperation::kCommit;
      break;
    case RequestKind::kRollback:
      command.operation = EndpointOperation::kRollback;
      break;
    case RequestKind::kResolve:
      command.operation = EndpointOperation::kResolve;
      break;
  }
  command.term = term_;
  command.statement = request.statement;
  command.parameters = request.parameters;
  command.access = request.access;
  command.id = request.id;
  command.max_age = request.max_age;
  command.min_position = request.min_position;
  return command;
}

void EndpointPool::EndWork(Work& work, Verdict verdict, Reason reason) {
  if (work.done == nullptr) return;
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = reason;
  outcome.served_by = options_.endpoint;
  std::exchange(work.done, nullptr)(outcome);
}

}  // namespace carawayhaven
