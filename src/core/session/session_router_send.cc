#include <algorithm>
#include <limits>
#include <utility>

#include "core/session/router_limits.h"
#include "core/session/session_router.h"

// Choice of the endpoint and the connection, and sending of statements.
namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Allows for several round trips between regions and the time that the endpoint
// needs to open a connection.
constexpr Duration kOpenTimeout = milliseconds(1000);
// A read is hedged after this multiple of the expected response time, within
// the bounds below.
constexpr int kHedgeFactor = 6;
constexpr Duration kMinHedgeDelay = milliseconds(250);
constexpr Duration kMaxHedgeDelay = milliseconds(600);
// Factor by which the primary is rated slower for reads that replicas can
// serve, because only the primary can run writes.
constexpr double kPrimaryPenalty = 1.6;
// Factor by which an endpoint is rated slower if an idle connection of another
// organisation must be closed there: that organisation may have to open one
// again, which takes about as long as a short statement.
constexpr double kReplacementPenalty = 1.5;

}  // namespace

// Returns the position that a replica must have reached to run the job, or
// nullopt if no known position of the primary is recent enough.
std::optional<LogPosition> SessionRouter::RequiredPosition(
    const StatementJob& job, const Service& service) const {
  const auto covering =
      service.positions.PositionCovering(job.received - job.max_age);
  if (!covering) return std::nullopt;
  return std::max(*covering,
                  service.positions.SurvivingPosition(job.session_position));
}

bool SessionRouter::TryStart(const JobPtr& job, Service& service,
                             TimePoint now) {
  std::optional<LogPosition> required;
  if (!job->needs_primary) required = RequiredPosition(*job, service);
  const EndpointChoice choice = ChooseEndpoint(*job, service, required, now);
  EndpointState* endpoint = choice.endpoint;
  if (endpoint == nullptr) return false;
  if (!choice.has_connection) {
    if (choice.opening.evicted != 0) {
      CloseConnection(choice.opening.evicted, now);
      ++stats_.connections_replaced;
    }
    OpenConnection(*endpoint, job->organisation, now);
    return false;
  }
  const ConnectionId id = ChooseConnection(*endpoint, *job);
  const PrimaryLease* lease = leases_.FindValid(job->service, now);
  if (lease != nullptr && lease->endpoint == endpoint->record.name) {
    required.reset();
  } else if (required) {
    ++stats_.sent_to_replica;
  }
  Start(id, job, required, now);
  return true;
}

// Returns the endpoint with the shortest expected response time among those
// with an idle connection of the organisation; if there is none, among those to
// which a connection may be opened.
SessionRouter::EndpointChoice SessionRouter::ChooseEndpoint(
    const StatementJob& job, const Service& service,
    std::optional<LogPosition> required, TimePoint now) {
  const bool replicas_allowed = required.has_value();
  const PrimaryLease* lease = leases_.FindValid(job.service, now);
  EndpointState* best = nullptr;
  EndpointChoice openable;
  double best_score = std::numeric_limits<double>::max();
  double openable_score = std::numeric_limits<double>::max();
  for (const auto& [name, state] : service.endpoints) {
    EndpointState& endpoint = *state;
    const bool is_primary = lease != nullptr && lease->endpoint == name;
    if (job.needs_primary ? !is_primary : !is_primary && !replicas_allowed) {
      continue;
    }
    if (!endpoint.AcceptsWork(now) ||
        (endpoint.leaving_since != TimePoint::max() && !is_primary)) {
      continue;
    }
    if (!is_primary && endpoint.IsProbablyBehind(*required, now)) {
      ScheduleTick(endpoint.behind_until);
      continue;
    }
    const auto avoid_until = job.avoid_until.find(name);
    if (avoid_until != job.avoid_until.end() && avoid_until->second > now) {
      ScheduleTick(avoid_until->second);
      continue;
    }
    const Duration baseline =
        round_trip_time_(endpoint.record.data_centre) + kAssumedRunTime;
    double score =
        static_cast<double>(
            endpoint.ExpectedResponseTime(baseline, now).count()) *
        (1.0 + static_cast<double>(endpoint.running) / endpoint.record.slots) *
        endpoint.RefusalPenalty();
    if (is_primary && !job.needs_primary && replicas_allowed) {
      score *= kPrimaryPenalty;
    }
    if (!HasRoom(endpoint, job, endpoint.running, now)) continue;
    if (HasUsableConnection(endpoint, job, service, is_primary, now)) {
      if (score < best_score) {
        best_score = score;
        best = &endpoint;
      }
      continue;
    }
    if (best != nullptr ||
        !HasRoom(
            endpoint, job,
            endpoint.running + static_cast<unsigned>(endpoint.pool.opening()),
            now)) {
      continue;
    }
    const OrganisationPool::Decision opening =
        DecideOpening(endpoint, job, service, is_primary, now);
    if (opening.kind == OrganisationPool::Decision::Kind::kWait) continue;
    if (opening.kind == OrganisationPool::Decision::Kind::kReplace) {
      score *= kReplacementPenalty;
    }
    if (score < openable_score) {
      openable_score = score;
      openable = {&endpoint, false, opening};
    }
  }
  return best != nullptr ? EndpointChoice{best, true, {}} : openable;
}

bool SessionRouter::OthersWait(const StatementJob& job, const Service& service,
                               bool is_primary, TimePoint now) {
  if (!service.has_organisations) return false;
  return service.queue.AnyOf([&](const StatementJob& other) {
    return !other.done && other.running == 0 && other.not_before <= now &&
           (is_primary || !other.needs_primary) &&
           other.organisation != job.organisation;
  });
}

bool SessionRouter::HasUsableConnection(const EndpointState& endpoint,
                                        const StatementJob& job,
                                        const Service& service, bool is_primary,
                                        TimePoint now) const {
  return !endpoint.pool.IdleOf(job.organisation).empty() &&
         !(service.has_organisations &&
           endpoint.pool.IsOverShare(job.organisation,
                                     service.connection_limit) &&
           OthersWait(job, service, is_primary, now));
}

OrganisationPool::Decision SessionRouter::DecideOpening(
    const EndpointState& endpoint, const StatementJob& job,
    const Service& service, bool is_primary, TimePoint now) {
  if (now < endpoint.next_open ||
      !endpoint.pool.MayOpen(job.organisation, service.connection_limit)) {
    return {};
  }
  OrganisationPool::Demand demand;
  demand.queued = service.queue.size();
  if (service.has_organisations) {
    demand.queued = service.queue.CountOf(job.organisation);
    demand.others_wait = OthersWait(job, service, is_primary, now);
  }
  const OrganisationPool::Decision decision = endpoint.pool.Decide(
      job.organisation, service.connection_limit, demand, now);
  if (decision.kind == OrganisationPool::Decision::Kind::kWait &&
      decision.retry_at != TimePoint::max()) {
    ScheduleTick(decision.retry_at);
  }
  return decision;
}

bool SessionRouter::HasRoom(const EndpointState& endpoint,
                            const StatementJob& job, unsigned outstanding,
                            TimePoint now) {
  if (!pacing_) return true;
  // A transaction can have an effect even if its first statement has none.
  const bool has_effect = job.has_effect || job.begin.has_value();
  if (endpoint.limit.Allows(outstanding, endpoint.record.slots, has_effect,
                            now)) {
    return true;
  }
  const TimePoint probe = endpoint.limit.NextProbe(has_effect);
  if (probe > now) ScheduleTick(probe);
  return false;
}

ConnectionId SessionRouter::ChooseConnection(const EndpointState& endpoint,
                                             const StatementJob& job) const {
  ConnectionId best = 0;
  std::size_t best_cost = std::numeric_limits<std::size_t>::max();
  for (const ConnectionId id : endpoint.pool.IdleOf(job.organisation)) {
    const std::size_t cost =
        CountSetupStatements(job.owner->context(), connections_.at(id).context);
    if (cost < best_cost) {
      best_cost = cost;
      best = id;
    }
  }
  return best;
}

void SessionRouter::OpenConnection(EndpointState& endpoint,
                                   const OrganisationName& organisation,
                                   TimePoint now) {
  const ConnectionId id =
      link_.Open(endpoint.record.address, endpoint.record.service, organisation,
                 endpoint.record.name, *this);
  Connection& connection = connections_[id];
  connection.endpoint = endpoint.record.name;
  connection.service = endpoint.record.service;
  connection.organisation = organisation;
  connection.give_up_at = now + kOpenTimeout;
  endpoint.pool.Add(id, organisation);
  ++stats_.connections_opened;
  ScheduleTick(connection.give_up_at);
}

void SessionRouter::Start(ConnectionId id, const JobPtr& job,
                          std::optional<LogPosition> required, TimePoint now) {
  Connection& connection = connections_.at(id);
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  endpoint.pool.SetBusy(id);
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
  if (connection.needs_synchronization && connection.steps.empty()) {
    connection.steps = PlanResynchronization(context, prepared);
  }
  if (job->begin) {
    EndpointStatement& begin = connection.steps.emplace_back();
    begin.kind = *job->begin;
    begin.min_position = std::exchange(required, std::nullopt);
  }
  EndpointStatement& last = connection.steps.emplace_back();
  last.id = job->statement.id;
  last.text = job->statement.text;
  last.commits = job->commits;
  last.access =
      job->has_effect && !job->commits ? AccessMode::kWrite : AccessMode::kRead;
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
  ReportDecision(RoutingDecision::Kind::kSent, *job, connection.endpoint,
                 ReplyCode::kOk, now,
                 first_with_position.min_position.value_or(LogPosition{}), id);
  ScheduleTick(job->deadline);
  SendStep(id, now);
}

void SessionRouter::SendStep(ConnectionId id, TimePoint now) {
  Connection& connection = connections_.at(id);
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  const PrimaryLease* lease = leases_.FindLatest(connection.service);
  const bool is_primary =
      lease != nullptr && lease->endpoint == connection.endpoint;
  connection.sent_at = now;
  connection.sent_with_lease = is_primary && now < lease->expires;
  connection.sent_term = is_primary ? lease->term : 0;
  const EndpointStatement& statement = connection.steps[connection.step];
  // An answer that arrived before its statement was sent is not its answer.
  const bool unrequested =
      IsSigned(statement.kind) && link_.HasUnrequestedBytes(id);
  if (unrequested) {
    ReportFault(id, AnswerFault::kUnrequested, now);
    NoteFault(id, now);
  }
  if (unrequested || !link_.Send(id, statement)) {
    const EndpointName name = connection.endpoint;
    const JobPtr job = DetachJob(id, false, now);
    if (job != nullptr && !job->done) {
      if (!job->may_have_run && job->transaction_connection != 0) {
        Refuse(job, ReplyCode::kBusy, now);
      } else if (job->begin || !job->may_have_run) {
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
    const Duration expected = endpoint.ExpectedResponseTime(
        round_trip_time_(endpoint.record.data_centre) + kAssumedRunTime, now);
    connection.hedge_at = now + std::clamp(expected * kHedgeFactor,
                                           kMinHedgeDelay, kMaxHedgeDelay);
    ScheduleTick(connection.hedge_at);
  }
}

}  // namespace carawayhaven
