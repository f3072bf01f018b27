#include "core/session/session_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/session/router_limits.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Dispatch skips the other statements of an organisation after this many queued
// ones that need no primary could not be started, and stops after
// kMaxBlockedAttemptsOfAll of all organisations.
constexpr int kMaxBlockedAttempts = 8;
constexpr int kMaxBlockedAttemptsOfAll = 64;
// The announcement that it is not known when there will be a primary counts for
// this long. The leader renews it with each reply to a lease request.
constexpr Duration kAnnouncementLifetime = std::chrono::seconds(3);
// Longest wait for tokens of peers: two round trips between regions. The
// limiter is asked again at the interval below.
constexpr Duration kMaxLimitWait = milliseconds(60);
constexpr Duration kLimitPollInterval = milliseconds(10);

}  // namespace

SessionRouter::SessionRouter(SessionLink& link, RouterObserver& observer,
                             RoundTripTime round_trip_time)
    : link_(link),
      observer_(observer),
      round_trip_time_(std::move(round_trip_time)) {}

// A job and its session hold shared pointers to each other until the job ends;
// resetting the owner breaks the cycle.
SessionRouter::~SessionRouter() {
  for (const auto& [id, connection] : connections_) {
    if (connection.job != nullptr) connection.job->owner.reset();
    link_.Close(id);
  }
  for (const auto& [name, service] : services_) {
    for (const JobPtr& job : service.queue.Jobs()) job->owner.reset();
  }
  for (const UnconfirmedWrite& write : unconfirmed_) write.job->owner.reset();
  for (const LimitedJob& limited : limited_) limited.job->owner.reset();
}

bool SessionRouter::SetEndpoint(const EndpointRecord& record, TimePoint now) {
  auto [entry, is_new] = endpoints_.try_emplace(record.name, record);
  EndpointState& endpoint = entry->second;
  const bool outdated = !is_new && endpoint.IsOutdated(record);
  endpoint.registry_era = std::max(endpoint.registry_era, record.registry_era);
  if (outdated) return false;
  if (endpoint.record.service != record.service) {
    services_[endpoint.record.service].endpoints.erase(record.name);
  }
  services_[record.service].endpoints[record.name] = &endpoint;
  const bool restarted = !is_new && endpoint.record.started_ms != 0 &&
                         record.started_ms != endpoint.record.started_ms;
  const bool moved = endpoint.record.address != record.address ||
                     endpoint.record.service != record.service;
  endpoint.record = record;
  endpoint.missing_since = TimePoint::max();
  missing_at_outage_.erase(record.name);
  if (!record.leaving) {
    endpoint.leaving_since = TimePoint::max();
  } else if (endpoint.leaving_since == TimePoint::max()) {
    endpoint.leaving_since = now;
  }
  if (restarted || moved) {
    endpoint.next_open = now;
    endpoint.position = {};
    UpdateLimit(endpoint, [](ConcurrencyLimit& limit) { limit.Restart(); });
    RetireConnections(endpoint, now);
  }
  TrimConnections(endpoint, now);
  Dispatch(record.service, now);
  return true;
}

void SessionRouter::RemoveEndpoint(const EndpointName& name, TimePoint now) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return;
  if (found->second.missing_since == TimePoint::max()) {
    found->second.missing_since = now;
    ScheduleTick(found->second.WorkEnd());
  }
}

void SessionRouter::SetRegistryAvailable(bool available, TimePoint now) {
  if (available) {
    for (const EndpointName& name : std::exchange(missing_at_outage_, {})) {
      endpoints_.at(name).missing_since = now;
    }
    return;
  }
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.missing_since == TimePoint::max() || endpoint.IsGone(now)) {
      continue;
    }
    endpoint.missing_since = TimePoint::max();
    missing_at_outage_.insert(name);
  }
}

void SessionRouter::SetConnectionLimit(const ServiceName& service,
                                       std::uint32_t limit, TimePoint now) {
  Service& limited = services_[service];
  limited.connection_limit = std::max(limit, 1U);
  for (const auto& [name, endpoint] : limited.endpoints) {
    TrimConnections(*endpoint, now);
  }
}

void SessionRouter::RetireConnections(EndpointState& endpoint, TimePoint now) {
  const std::set<ConnectionId> retired = endpoint.pool.All();
  for (const ConnectionId id : retired) {
    Connection& connection = connections_.at(id);
    connection.outdated = true;
    if (!connection.open || endpoint.pool.idle().contains(id)) {
      CloseConnection(id, now);
    }
  }
}

void SessionRouter::TrimConnections(EndpointState& endpoint, TimePoint now) {
  const std::size_t limit =
      endpoint.AcceptsWork(now)
          ? services_[endpoint.record.service].connection_limit
          : 0;
  while (endpoint.pool.size() > limit && !endpoint.pool.idle().empty()) {
    CloseConnection(*endpoint.pool.idle().begin(), now);
  }
}

void SessionRouter::CloseIdleConnections(TimePoint now) {
  for (auto& [name, endpoint] : endpoints_) {
    while (!endpoint.pool.idle().empty()) {
      CloseConnection(*endpoint.pool.idle().begin(), now);
    }
  }
}

void SessionRouter::GrantLease(const ServiceName& service,
                               const PrimaryLease& lease, TimePoint now) {
  const bool was_valid = leases_.FindValid(service, now) != nullptr;
  const bool changed = leases_.Grant(service, lease);
  if (!unconfirmed_.empty()) SettleUnconfirmedWrites(now);
  if (changed || !was_valid) Dispatch(service, now);
}

void SessionRouter::ExpectPrimary(const ServiceName& name,
                                  std::optional<TimePoint> ready_at,
                                  TimePoint now) {
  Service& service = services_[name];
  service.primary_ready_at = ready_at.value_or(TimePoint::max());
  service.primary_announced_at = now;
  std::vector<JobPtr> unservable;
  for (const JobPtr& job : service.queue.Jobs()) {
    if (!job->done && job->running == 0 &&
        NoPrimaryBeforeDeadline(*job, service, now)) {
      unservable.push_back(job);
    }
  }
  for (const JobPtr& job : unservable) {
    service.queue.Remove(job);
    Refuse(job, ReplyCode::kNotPrimary, now);
  }
}

bool SessionRouter::NoPrimaryBeforeDeadline(const StatementJob& job,
                                            const Service& service,
                                            TimePoint now) const {
  const bool is_time_known = service.primary_ready_at != TimePoint::max();
  const bool may_come = is_time_known ? service.primary_ready_at <= job.deadline
                                      : now - service.primary_announced_at >
                                            kAnnouncementLifetime;
  if (may_come || leases_.FindValid(job.service, now) != nullptr) return false;
  return job.needs_primary || !RequiredPosition(job, service);
}

void SessionRouter::AddPosition(const ServiceName& service, TimePoint at,
                                LogPosition position) {
  services_[service].positions.Add(at, position);
}

const PositionHistory* SessionRouter::FindPositionHistory(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second.positions;
}

LogPosition SessionRouter::AcknowledgedPosition(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? LogPosition{} : found->second.acknowledged;
}

std::size_t SessionRouter::waiting() const {
  std::size_t count = limited_.size();
  for (const auto& [name, service] : services_) count += service.queue.size();
  return count;
}

void SessionRouter::Submit(const std::shared_ptr<StatementJob>& job,
                           TimePoint now) {
  Service& service = services_[job->service];
  service.retries.OnRequest();
  if (!job->organisation.empty()) service.has_organisations = true;
  if (ended_) {
    Refuse(job, ReplyCode::kBusy, now);
    return;
  }
  LimitDecision decision;
  if (limiter_ != nullptr && !job->organisation.empty()) {
    decision = limiter_->Take(job->organisation, now);
  }
  switch (decision.kind) {
    case LimitDecision::Kind::kAdmitted:
      Admit(job, now);
      return;
    case LimitDecision::Kind::kWait:
      limited_.push_back({job, std::min(now + kMaxLimitWait, job->deadline)});
      ScheduleTick(now + kLimitPollInterval);
      return;
    case LimitDecision::Kind::kRefused:
      Refuse(job, ReplyCode::kBusy, now, decision.retry_after);
      return;
  }
}

void SessionRouter::TickLimitedJobs(TimePoint now) {
  // A job that ends here may submit another one.
  std::list<LimitedJob> waiting = std::exchange(limited_, {});
  while (!waiting.empty()) {
    const LimitedJob limited = std::move(waiting.front());
    waiting.pop_front();
    const JobPtr& job = limited.job;
    if (job->done) continue;
    const LimitDecision decision = limiter_->TakeAgain(job->organisation, now);
    if (decision.kind == LimitDecision::Kind::kAdmitted) {
      Admit(job, now);
    } else if (decision.kind == LimitDecision::Kind::kWait &&
               now < limited.until) {
      limited_.push_back(limited);
      ScheduleTick(now + kLimitPollInterval);
    } else {
      if (decision.kind == LimitDecision::Kind::kWait) {
        limiter_->OnRefused(job->organisation, now);
      }
      Refuse(job, ReplyCode::kBusy, now, decision.retry_after);
    }
  }
}

void SessionRouter::CountRepeatedSend(const StatementJob& job, TimePoint now) {
  if (limiter_ == nullptr || job.organisation.empty()) return;
  limiter_->TakeForced(job.organisation, now);
}

void SessionRouter::Admit(const JobPtr& job, TimePoint now) {
  Service& service = services_[job->service];
  if (service.queue.empty() && TryStart(job, service, now)) return;
  if (NoPrimaryBeforeDeadline(*job, service, now)) {
    Refuse(job, ReplyCode::kNotPrimary, now);
    return;
  }
  job->queued = now;
  Enqueue(job);
  Dispatch(job->service, now);
  if (job->done || job->running > 0) return;
  const Duration wait = service.queue.EstimateWait(*job, now);
  if (wait <= job->max_queue_wait) return;
  service.queue.Remove(job);
  Refuse(job, ReplyCode::kBusy, now, wait);
}

void SessionRouter::SubmitInTransaction(
    ConnectionId id, const std::shared_ptr<StatementJob>& job, TimePoint now) {
  job->transaction_connection = id;
  const auto found = connections_.find(id);
  if (ended_ || found == connections_.end() ||
      found->second.transaction_owner != job->owner ||
      found->second.organisation != job->organisation) {
    Finish(job, UnansweredResult(JobResult::End::kLost, ""), now);
    return;
  }
  Start(id, job, std::nullopt, now);
}

void SessionRouter::RollBack(ConnectionId id, const JobOwner& owner,
                             TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end() ||
      found->second.transaction_owner.get() != &owner) {
    return;
  }
  if (found->second.job != nullptr) {
    found->second.job->done = true;
    CloseConnection(id, now);
    return;
  }
  SendRollback(id, now);
}

void SessionRouter::SendRollback(ConnectionId id, TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  if (now < endpoints_.at(connection.endpoint).faulty_until) {
    CloseConnection(id, now);
    return;
  }
  connection.transaction_owner.reset();
  connection.steps = {EndpointStatement{}};
  connection.steps.front().kind = EndpointStatementKind::kRollback;
  connection.step = 0;
  connection.give_up_at = now + kLateAnswerGrace;
  ScheduleTick(connection.give_up_at);
  SendStep(id, now);
}

void SessionRouter::Abandon(const std::shared_ptr<StatementJob>& job,
                            TimePoint /*now*/) {
  job->done = true;
  job->owner.reset();
}

void SessionRouter::Enqueue(const JobPtr& job) {
  Service& service = services_[job->service];
  const Duration cost = service.costs.Estimate(*job);
  service.queue.Add(job, cost);
  ScheduleTick(StatementQueue::LastStart(*job, cost));
}

// A job that ends here may submit another one, so the queue is traversed by the
// outermost call only.
void SessionRouter::Dispatch(const ServiceName& name, TimePoint now) {
  Service& service = services_[name];
  if (std::exchange(service.dispatching, true)) {
    service.dispatch_again = true;
    return;
  }
  do {
    service.dispatch_again = false;
    DispatchQueue(service, now);
  } while (service.dispatch_again);
  service.dispatching = false;
}

void SessionRouter::DispatchQueue(Service& service, TimePoint now) {
  // Whether jobs of an organisation can start depends on the connections that
  // it may use, so one that is blocked does not stop the others.
  struct Blocked {
    bool primary = false;
    int others = 0;
  };
  std::map<OrganisationName, Blocked> blocked_organisations;
  int blocked_reads = 0;
  service.queue.BeginPass(now);
  while (const auto next = service.queue.Next()) {
    const JobPtr& job = next->job;
    Blocked& blocked = blocked_organisations[job->organisation];
    // Skip does not cover entries that were added after it.
    if (job->organisation.empty() && blocked.others >= kMaxBlockedAttempts) {
      continue;
    }
    if (job->done) {
      service.queue.Drop(*next);
      continue;
    }
    // TickQueues refuses jobs that can no longer be served.
    if (StatementQueue::LastStart(*job, service.costs.Estimate(*job)) <= now) {
      ScheduleTick(now);
      continue;
    }
    if (job->not_before > now) {
      ScheduleTick(job->not_before);
      continue;
    }
    if (job->needs_primary && blocked.primary) continue;
    if (TryStart(job, service, now)) {
      service.queue.Start(*next);
      continue;
    }
    if (job->needs_primary) blocked.primary = true;
    if (!job->needs_primary) {
      ++blocked.others;
      if (++blocked_reads >= kMaxBlockedAttemptsOfAll) return;
    }
    if (job->needs_primary || blocked.others >= kMaxBlockedAttempts) {
      service.queue.Skip(job->organisation, job->needs_primary);
    }
  }
}

void SessionRouter::Tick(TimePoint now) {
  if (now < next_tick_) return;
  next_tick_ = TimePoint::max();
  if (!unconfirmed_.empty()) SettleUnconfirmedWrites(now);
  for (const UnconfirmedWrite& write : unconfirmed_) ScheduleTick(write.until);
  TickConnections(now);
  if (!limited_.empty()) TickLimitedJobs(now);
  TickQueues(now);
}

void SessionRouter::TickQueues(TimePoint now) {
  std::vector<JobPtr> expired;
  for (auto& [name, service] : services_) {
    const StatementCosts& costs = service.costs;
    service.queue.RemoveIf([this, now, &costs, &expired](const JobPtr& job) {
      if (job->done) return true;
      const TimePoint last_start =
          StatementQueue::LastStart(*job, costs.Estimate(*job));
      if (last_start <= now) {
        if (job->running == 0) expired.push_back(job);
        return true;
      }
      ScheduleTick(last_start);
      return false;
    });
    Dispatch(name, now);
  }
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.next_open > now) ScheduleTick(endpoint.next_open);
    if (endpoint.WorkEnd() > now) {
      ScheduleTick(endpoint.WorkEnd());
    } else {
      TrimConnections(endpoint, now);
    }
  }
  for (const JobPtr& job : expired) Refuse(job, job->last_refusal, now);
}

}  // namespace carawayhaven
