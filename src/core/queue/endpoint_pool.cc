#include "core/queue/endpoint_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/endpoint_command.h"
#include "core/mutation.h"
#include "core/queue/admission_control.h"
#include "core/queue/answer_outcome.h"

namespace carawayhaven {
namespace {

/// Returns the number of connections for statements. The confirmation tracker
/// uses one connection of its own.
std::size_t StatementConnections(const EndpointPoolOptions& options) {
  constexpr std::uint32_t kReserved = EndpointPool::kReservedConnections + 1;
  return options.connections > kReserved ? options.connections - kReserved : 1;
}

/// Only these statuses tell the run time: a refused statement did not run.
bool RanOnEndpoint(EndpointStatus status) {
  return status == EndpointStatus::kOk || status == EndpointStatus::kConflict ||
         status == EndpointStatus::kError;
}

bool EndsTransaction(const Request& request) {
  return request.kind == RequestKind::kCommit ||
         request.kind == RequestKind::kRollback;
}

Duration Scaled(Duration value, double factor) {
  return std::chrono::duration_cast<Duration>(value * factor);
}

}  // namespace

EndpointPool::EndpointPool(EndpointPoolOptions options, EndpointLink& link,
                           EndpointPoolHandler& handler)
    : options_(std::move(options)),
      handler_(handler),
      link_(link),
      costs_(options_.policy.long_factor),
      queue_(options_.policy),
      connections_(options_.address, options_.slots + 1,
                   StatementConnections(options_), link, *this,
                   next_correlation_),
      confirmations_(options_.address, link, *this, next_correlation_,
                     completions_) {}

EndpointPool::~EndpointPool() = default;

void EndpointPool::Submit(Request request, Term term, OutcomeCallback done,
                          TimePoint now) {
  SetTerm(term);
  Work work;
  work.request = std::move(request);
  work.done = std::move(done);
  work.arrival = now;
  work.fingerprint = CostEstimator::FingerprintOf(work.request);
  const bool in_transaction = !work.request.transaction.empty() &&
                              work.request.kind != RequestKind::kBegin &&
                              work.request.kind != RequestKind::kResolve;
  if (in_transaction) {
    EnqueueInTransaction(std::move(work), now);
  } else {
    work.starts_write = IsWrite(work.request);
    Enqueue(std::move(work), now);
  }
  Dispatch(now);
  completions_.Flush();
}

void EndpointPool::SetTerm(Term term) {
  if (term <= term_) return;
  term_ = term;
  confirmations_.SetTerm(term);
  completions_.Flush();
}

void EndpointPool::Hold(TimePoint /*now*/) { holding_writes_ = true; }

void EndpointPool::Release(TimePoint now) {
  holding_writes_ = false;
  Dispatch(now);
  completions_.Flush();
}

bool EndpointPool::HasWritesInFlight() const {
  return confirmations_.has_writes() || !transactions_.empty() ||
         std::any_of(running_.begin(), running_.end(), [](const auto& entry) {
           return IsWrite(entry.second.work.request);
         });
}

void EndpointPool::SuspectConnections(TimePoint now) {
  for (auto& [id, running] : running_) {
    suspected_.insert(id);
    running.give_up_at = GiveUpAt(running, now);
  }
  for (const auto& [id, transaction] : transaction_of_) suspected_.insert(id);
  connections_.ProbeFreeConnections(now);
  Tick(now);
}

TimePoint EndpointPool::GiveUpAt(const RunningStatement& running,
                                 TimePoint now) const {
  const Duration p90 = costs_.Estimate(running.work.fingerprint).p90;
  const Duration limit =
      std::max(kSilentCostFactor * p90, ConnectionPool::kHeartbeatTimeout);
  return std::max(running.started + limit, now);
}

void EndpointPool::Drain(TimePoint now) {
  if (draining_) return;
  draining_ = true;
  drain_deadline_ = now + options_.drain_timeout;
  for (Work& work : queue_.TakeAllNeedingConnection()) {
    EndWork(work, Verdict::kNotRun, Reason::kLeaving);
  }
  connections_.Drain();
  completions_.Flush();
}

bool EndpointPool::idle() const {
  return queue_.size() == 0 && running_.empty() && transactions_.empty() &&
         confirmations_.size() == 0;
}

PoolStats EndpointPool::stats() const {
  PoolStats stats = totals_;
  stats.queued_short = queue_.size(WorkClass::kShort);
  stats.queued_long = queue_.size(WorkClass::kLong);
  stats.queued_unknown_cost = queue_.size(WorkClass::kUnknownCost);
  stats.running = running_.size();
  stats.running_long = running_long_;
  stats.connections = connections_.size() + confirmations_.connections();
  stats.open_transactions = transactions_.size();
  stats.awaiting_confirmation = confirmations_.size();
  stats.breaker_open = connections_.breaker().is_open();
  stats.confirmed = confirmations_.confirmed();
  stats.unconfirmed = confirmations_.unconfirmed();
  stats.silent_connections += connections_.silent();
  return stats;
}

void EndpointPool::Tick(TimePoint now) {
  for (Work& work : queue_.TakeExpired(now)) {
    ++totals_.expired_in_queue;
    EndWork(work, Verdict::kNotRun, Reason::kDeadline);
    const auto found = transactions_.find(work.request.transaction);
    if (!work.needs_connection && found != transactions_.end()) {
      found->second.queued = 0;
      connections_.MarkIdle(found->second.connection, now);
    }
  }
  TickRunning(now);
  TickTransactions(now);
  confirmations_.Tick(now);
  connections_.Tick(term_, now);
  Dispatch(now);
  completions_.Flush();
}

TimePoint EndpointPool::NextTick() const {
  if (!opened_initial_connections_) return TimePoint{};
  TimePoint next = std::min({queue_.NextDeadline(), connections_.NextTick(),
                             confirmations_.NextTick()});
  for (const auto& [id, running] : running_) {
    const TimePoint deadline = running.work.request.deadline;
    next =
        std::min({next, running.reclassify_at, running.give_up_at,
                  running.work.done ? deadline : deadline + kLateAnswerGrace});
  }
  if (connections_.FirstIdleInTransactionAt() != TimePoint::max()) {
    next = std::min(next, connections_.FirstIdleInTransactionAt() +
                              (missing_connections_ > 0
                                   ? options_.transaction_idle_timeout_on_demand
                                   : options_.transaction_idle_timeout));
  }
  if (!transactions_.empty()) next = std::min(next, drain_deadline_);
  return next;
}

void EndpointPool::OnConnectionOpened(ConnectionId connection, TimePoint now) {
  if (confirmations_.Owns(connection)) {
    confirmations_.OnOpened(now);
  } else if (connections_.Contains(connection)) {
    connections_.OnOpened(connection, now);
    Dispatch(now);
  }
  completions_.Flush();
}

void EndpointPool::OnConnectionClosed(ConnectionId connection, TimePoint now) {
  if (confirmations_.Owns(connection)) {
    confirmations_.OnClosed(now);
  } else if (connections_.Contains(connection)) {
    connections_.OnClosed(connection, now);
    CloseConnection(connection, Reason::kConnectionLost);
    Dispatch(now);
  }
  completions_.Flush();
}

void EndpointPool::OnAnswer(ConnectionId connection,
                            const EndpointAnswer& answer, TimePoint now) {
  if (confirmations_.Owns(connection)) {
    if (confirmations_.OnAnswer(answer, now)) {
      handler_.OnEndpointAnswer(options_.endpoint, answer, now);
    } else {
      ++totals_.stray_answers;
    }
    completions_.Flush();
    return;
  }
  const auto found = running_.find(connection);
  if (found != running_.end() &&
      (found->second.correlation == answer.correlation ||
       MutationEnabled(Mutation::kAcceptForeignAnswer))) {
    RunningStatement running = std::move(found->second);
    running_.erase(found);
    suspected_.erase(connection);
    if (running.counts_as_long) --running_long_;
    handler_.OnEndpointAnswer(options_.endpoint, answer, now);
    Finish(connection, std::move(running), answer, now);
  } else if (connections_.Contains(connection) &&
             connections_.OnAnswer(connection, answer.correlation, now)) {
    handler_.OnEndpointAnswer(options_.endpoint, answer, now);
  } else {
    ++totals_.stray_answers;
  }
  Dispatch(now);
  completions_.Flush();
}

void EndpointPool::Enqueue(Work work, TimePoint now) {
  if (draining_) {
    EndWork(work, Verdict::kNotRun, Reason::kLeaving);
    return;
  }
  if (Admit(work, now)) queue_.Push(std::move(work));
}

void EndpointPool::EnqueueInTransaction(Work work, TimePoint now) {
  const auto found = transactions_.find(work.request.transaction);
  if (found == transactions_.end()) {
    // An earlier copy of the commit may have run; only a resolve can tell.
    const bool commit = work.request.kind == RequestKind::kCommit;
    EndWork(work, commit ? Verdict::kMayHaveRun : Verdict::kNotRun,
            Reason::kUnknownTransaction);
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.queued != 0 || running_.contains(transaction.connection)) {
    EndWork(work, Verdict::kNotRun, Reason::kBusy);
    return;
  }
  work.needs_connection = false;
  if (!Admit(work, now)) return;
  connections_.MarkInUse(transaction.connection);
  transaction.queued = queue_.Push(std::move(work));
}

bool EndpointPool::Admit(Work& work, TimePoint now) {
  const QueuePolicy& policy = options_.policy;
  if (work.request.deadline <= now) {
    EndWork(work, Verdict::kNotRun, Reason::kDeadline);
    return false;
  }
  const CostEstimate estimate = costs_.Estimate(work.fingerprint);
  work.cost = estimate.mean;
  work.work_class = ClassOf(work.fingerprint);
  const bool is_short = work.work_class == WorkClass::kShort;
  QueueLoad load;
  load.backlog = queue_.BacklogBefore(work.work_class, work.request.team);
  if (!is_short) {
    // Long work and work of unknown cost share the same slots.
    const WorkClass other = work.work_class == WorkClass::kLong
                                ? WorkClass::kUnknownCost
                                : WorkClass::kLong;
    load.backlog += std::min(queue_.Backlog(other), load.backlog);
  }
  load.slots =
      !is_short ? LongSlots()
                : options_.slots - std::min(running_long_, options_.slots - 1);
  load.all_slots_busy = running_.size() >= options_.slots;
  // Refusing a commit or rollback would only keep the transaction open longer.
  if (EndsTransaction(work.request)) return true;
  if (queue_.IsFull(work.request.team)) {
    ++totals_.refused;
    EndWork(work, Verdict::kNotRun, Reason::kOverloaded,
            std::max<Duration>(load.backlog / load.slots,
                               AdmissionControl::kMinRetryAfter));
    return false;
  }
  if (!policy.admission_control) return true;
  const auto retry_after = AdmissionControl::Refuse(
      load, estimate.p90, work.request.deadline - now, policy.admission_margin);
  if (!retry_after) return true;
  ++totals_.refused;
  EndWork(work, Verdict::kNotRun, Reason::kOverloaded, *retry_after);
  return false;
}

void EndpointPool::Dispatch(TimePoint now) {
  opened_initial_connections_ = true;
  while (running_.size() < options_.slots) {
    std::optional<Work> work = NextWork(now);
    if (!work) break;
    Start(std::move(*work), now);
  }
  missing_connections_ =
      connections_.Maintain(StartableNeedingConnection(), now);
  ReclaimTransactions(missing_connections_, now);
  if (connections_.breaker().is_open() && connections_.size() == 0) {
    const TimePoint retry_at = connections_.breaker().RetryAt();
    for (Work& work : queue_.TakeAllNeedingConnection()) {
      EndWork(work, Verdict::kNotRun, Reason::kConnectionLost, retry_at - now);
    }
  }
}

std::optional<Work> EndpointPool::NextWork(TimePoint now) {
  const QueuePolicy& policy = options_.policy;
  const Eligibility eligible{connections_.free() > 0, !holding_writes_};
  while (true) {
    const Work* oldest_long = queue_.Oldest(WorkClass::kLong, eligible);
    const bool aged = oldest_long != nullptr && IsAged(*oldest_long, now);
    const bool long_allowed =
        oldest_long != nullptr && running_long_ < LongSlots();
    const bool long_first = long_allowed && aged && policy.age_long_work;
    std::optional<Work> work;
    if (running_long_ < LongSlots() && (!long_first || unknown_cost_turn_)) {
      work = queue_.Pop(WorkClass::kUnknownCost, eligible);
      // Aged long work and work of unknown cost alternate, so that neither
      // starves.
      if (work) unknown_cost_turn_ = false;
    }
    if (!work && policy.frequent_unknown_cost_first &&
        running_long_ < FrequentUnknownCostSlots()) {
      work = queue_.PopFrequentUnknownCost(eligible, RunningFingerprints());
    }
    if (!work && !long_first) work = queue_.Pop(WorkClass::kShort, eligible);
    if (!work && long_allowed) {
      work = queue_.Pop(WorkClass::kLong, eligible);
      unknown_cost_turn_ = true;
    }
    if (!work) return std::nullopt;
    // The fingerprint may have been classified as long while the work was
    // queued.
    if (work->work_class == WorkClass::kShort &&
        ClassOf(work->fingerprint) == WorkClass::kLong) {
      Requeue(std::move(*work), now);
      continue;
    }
    if (!work->needs_connection) {
      transactions_.at(work->request.transaction).queued = 0;
    }
    // Started now, the work would occupy a slot and miss its deadline.
    const Duration remaining = work->request.deadline - now;
    if (policy.admission_control && !EndsTransaction(work->request) &&
        costs_.Estimate(work->fingerprint).p90 > remaining) {
      ++totals_.expired_in_queue;
      EndWork(*work, Verdict::kNotRun, Reason::kDeadline);
      if (!work->needs_connection) {
        connections_.MarkIdle(
            transactions_.at(work->request.transaction).connection, now);
      }
      continue;
    }
    return work;
  }
}

WorkClass EndpointPool::ClassOf(std::uint64_t fingerprint) const {
  const QueuePolicy& policy = options_.policy;
  if (!policy.limit_long_work) return WorkClass::kShort;
  if (costs_.IsLong(fingerprint)) return WorkClass::kLong;
  return policy.limit_unknown_cost_work && costs_.NewStatementsAreOftenLong() &&
                 !costs_.Estimate(fingerprint).known
             ? WorkClass::kUnknownCost
             : WorkClass::kShort;
}

void EndpointPool::Requeue(Work work, TimePoint now) {
  const auto transaction = work.needs_connection
                               ? transactions_.end()
                               : transactions_.find(work.request.transaction);
  const bool admitted = Admit(work, now);
  if (transaction == transactions_.end()) {
    if (admitted) queue_.Push(std::move(work));
    return;
  }
  transaction->second.queued = admitted ? queue_.Push(std::move(work)) : 0;
  if (!admitted) connections_.MarkIdle(transaction->second.connection, now);
}

void EndpointPool::RequeueUnknownCostWork(std::uint64_t fingerprint,
                                          TimePoint now) {
  for (Work& work : queue_.TakeUnknownCostWork(fingerprint)) {
    Requeue(std::move(work), now);
  }
}

bool EndpointPool::IsAged(const Work& head, TimePoint now) const {
  return now - head.arrival >= AgeLimit(head);
}

Duration EndpointPool::AgeLimit(const Work& head) const {
  return std::min(Scaled(head.cost, options_.policy.ageing_factor),
                  options_.policy.ageing_limit);
}

void EndpointPool::Start(Work work, TimePoint now) {
  const Request& request = work.request;
  if (request.kind == RequestKind::kBegin &&
      transactions_.contains(request.transaction)) {
    EndWork(work, Verdict::kNotRun, Reason::kBusy);
    return;
  }
  const ConnectionId id =
      work.needs_connection ? connections_.Take()
                            : transactions_.at(request.transaction).connection;
  EndpointCommand command = CommandFor(request);
  command.correlation = next_correlation_++;
  command.term = term_;
  if (!link_.Send(id, command)) {
    EndWork(work, Verdict::kNotRun, Reason::kConnectionLost);
    CloseConnection(id, Reason::kConnectionLost);
    return;
  }
  if (request.kind == RequestKind::kBegin) {
    transactions_[request.transaction].connection = id;
    transaction_of_[id] = request.transaction;
  }
  RunningStatement running;
  running.correlation = command.correlation;
  running.term = command.term;
  running.started = now;
  running.trace = handler_.TraceStatement(options_.endpoint, request);
  running.counts_as_long = work.work_class != WorkClass::kShort;
  if (running.counts_as_long) ++running_long_;
  const Duration limit = costs_.LongLimit();
  if (work.work_class != WorkClass::kLong && limit != Duration::max() &&
      options_.policy.limit_long_work && options_.policy.reclassify_running) {
    running.reclassify_at = now + limit;
  }
  running.work = std::move(work);
  if (suspected_.contains(id)) running.give_up_at = GiveUpAt(running, now);
  running_.emplace(id, std::move(running));
}

void EndpointPool::Finish(ConnectionId id, RunningStatement running,
                          const EndpointAnswer& answer, TimePoint now) {
  Work& work = running.work;
  const Duration run_time = now - running.started;
  if (RanOnEndpoint(answer.status)) {
    costs_.Observe(work.fingerprint, run_time);
    RequeueUnknownCostWork(work.fingerprint, now);
  }
  queue_.CorrectDeficit(work.work_class, work.request.team,
                        run_time - work.cost);
  ReturnOrCloseConnection(id, work.request, answer.status, now);
  if (work.done == nullptr) return;
  Outcome outcome = OutcomeOf(answer, work.request);
  outcome.served_by = options_.endpoint;
  // A primary whose term is older than the command's has been replaced without
  // noticing, so the age that it reports is wrong.
  const bool is_replaced = answer.role == EndpointRole::kPrimary &&
                           answer.term < running.term &&
                           !MutationEnabled(Mutation::kReadFromReplacedPrimary);
  if (is_replaced && !IsWrite(work.request) && work.request.max_age) {
    outcome = Outcome{};
    outcome.reason = Reason::kBehind;
    outcome.served_by = options_.endpoint;
    completions_.Add(work, std::move(outcome));
    return;
  }
  if (NeedsConfirmation(work.request, answer, options_.acknowledge)) {
    confirmations_.Add(std::move(work), std::move(outcome), running.term, now);
  } else {
    completions_.Add(work, std::move(outcome));
  }
}

void EndpointPool::ReturnOrCloseConnection(ConnectionId id,
                                           const Request& request,
                                           EndpointStatus status,
                                           TimePoint now) {
  const auto found = transaction_of_.find(id);
  if (found == transaction_of_.end()) {
    connections_.Return(id, now);
    return;
  }
  const bool ok = status == EndpointStatus::kOk ||
                  MutationEnabled(Mutation::kReuseUnknownConnection);
  switch (request.kind) {
    case RequestKind::kCommit:
      if (ok || status == EndpointStatus::kConflict) break;
      CloseConnection(id, Reason::kUnknownTransaction);
      return;
    case RequestKind::kRollback:
      if (ok) break;
      CloseConnection(id, Reason::kUnknownTransaction);
      return;
    case RequestKind::kBegin:
      if (!ok) {
        CloseConnection(id, Reason::kUnknownTransaction);
        return;
      }
      [[fallthrough]];
    default:
      connections_.MarkIdle(id, now);
      return;
  }
  RemoveTransaction(id, Reason::kUnknownTransaction);
  connections_.Return(id, now);
}

void EndpointPool::TickRunning(TimePoint now) {
  std::vector<ConnectionId> overdue;
  std::vector<ConnectionId> given_up;
  for (auto& [id, running] : running_) {
    if (running.reclassify_at <= now) {
      running.reclassify_at = TimePoint::max();
      if (!running.counts_as_long) ++running_long_;
      running.counts_as_long = true;
      // Other work of unknown cost with this fingerprint stays queued until the
      // first run ends.
      if (running.work.work_class == WorkClass::kShort) {
        costs_.ObserveRunning(running.work.fingerprint, now - running.started);
      }
    }
    if (running.give_up_at <= now) {
      given_up.push_back(id);
      continue;
    }
    const TimePoint deadline = running.work.request.deadline;
    if (deadline > now) continue;
    const bool uncommitted = transaction_of_.contains(id) &&
                             running.work.request.kind != RequestKind::kCommit;
    if (uncommitted || deadline + kLateAnswerGrace <= now) {
      overdue.push_back(id);
    } else {
      EndWork(running.work, Verdict::kMayHaveRun, Reason::kDeadline);
    }
  }
  for (ConnectionId id : overdue) {
    ++totals_.silent_connections;
    CloseConnection(id, Reason::kDeadline);
  }
  for (ConnectionId id : given_up) {
    ++totals_.silent_connections;
    CloseConnection(id, Reason::kConnectionLost);
  }
}

void EndpointPool::TickTransactions(TimePoint now) {
  while (const ConnectionId id = connections_.FindIdleInTransactionSince(
             now - options_.transaction_idle_timeout)) {
    ++totals_.reclaimed_transactions;
    CloseConnection(id, Reason::kUnknownTransaction);
  }
  if (now < drain_deadline_) return;
  drain_deadline_ = TimePoint::max();
  std::vector<ConnectionId> open;
  for (const auto& [id, transaction] : transaction_of_) {
    const auto found = running_.find(id);
    const bool committing =
        found != running_.end() &&
        found->second.work.request.kind == RequestKind::kCommit;
    if (!committing) open.push_back(id);
  }
  for (ConnectionId id : open) CloseConnection(id, Reason::kLeaving);
}

// Closing the connection rolls the transaction back, whatever its state.
void EndpointPool::ReclaimTransactions(std::size_t count, TimePoint now) {
  std::size_t reclaimed = 0;
  while (reclaimed < count) {
    const ConnectionId id = connections_.FindIdleInTransactionSince(
        now - options_.transaction_idle_timeout_on_demand);
    if (id == 0) break;
    ++totals_.reclaimed_transactions;
    CloseConnection(id, Reason::kUnknownTransaction);
    ++reclaimed;
  }
  if (reclaimed == 0) return;
  missing_connections_ =
      connections_.Maintain(StartableNeedingConnection(), now);
}

void EndpointPool::CloseConnection(ConnectionId id, Reason reason) {
  connections_.Close(id);
  suspected_.erase(id);
  const auto found = running_.find(id);
  if (found != running_.end()) {
    RunningStatement running = std::move(found->second);
    running_.erase(found);
    if (running.counts_as_long) --running_long_;
    EndRunningStatement(running, reason);
  }
  RemoveTransaction(id, reason);
}

void EndpointPool::EndRunningStatement(RunningStatement& running,
                                       Reason reason) {
  const Request& request = running.work.request;
  // The endpoint rolls an uncommitted transaction back when its connection is
  // closed.
  bool uncommitted = !request.transaction.empty() &&
                     request.kind != RequestKind::kCommit &&
                     request.kind != RequestKind::kResolve;
  uncommitted =
      uncommitted || MutationEnabled(Mutation::kReportNotRunAfterSend);
  EndWork(running.work, uncommitted ? Verdict::kNotRun : Verdict::kMayHaveRun,
          reason);
}

void EndpointPool::RemoveTransaction(ConnectionId id, Reason reason) {
  const auto found = transaction_of_.find(id);
  if (found == transaction_of_.end()) return;
  const auto transaction = transactions_.find(found->second);
  if (std::optional<Work> work = queue_.Remove(transaction->second.queued)) {
    EndWork(*work, Verdict::kNotRun, reason);
  }
  transactions_.erase(transaction);
  transaction_of_.erase(found);
}

void EndpointPool::EndWork(Work& work, Verdict verdict, Reason reason,
                           Duration retry_after) {
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = reason;
  outcome.served_by = options_.endpoint;
  outcome.retry_after = retry_after;
  completions_.Add(work, std::move(outcome));
}

std::size_t EndpointPool::StartableNeedingConnection() const {
  return std::min<std::size_t>(queue_.WaitingForConnection(!holding_writes_),
                               options_.slots - running_.size());
}

std::uint32_t EndpointPool::FrequentUnknownCostSlots() const {
  return std::min(LongSlots() + 1, options_.slots);
}

std::vector<std::uint64_t> EndpointPool::RunningFingerprints() const {
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [id, running] : running_) {
    fingerprints.push_back(running.work.fingerprint);
  }
  return fingerprints;
}

std::uint32_t EndpointPool::LongSlots() const {
  if (!options_.policy.limit_long_work) return options_.slots;
  return std::max(1U, static_cast<std::uint32_t>(options_.slots *
                                                 options_.policy.long_share));
}

}  // namespace carawayhaven
