#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "core/session/router_limits.h"
#include "core/session/session_router.h"

// Retry, hedging and final result of statements that were refused or received
// no reply.
namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Pauses before a statement is sent again to an endpoint that refused it or did
// not reply. kBusyPause doubles with each attempt, kBusyDoublings times at
// most.
constexpr Duration kBusyPause = milliseconds(20);
constexpr unsigned kBusyDoublings = 3;
constexpr Duration kBehindPause = milliseconds(50);
constexpr Duration kNotPrimaryPause = milliseconds(100);
constexpr Duration kUnreachablePause = milliseconds(200);
// Retry delay reported to callers while a group has no primary.
constexpr Duration kFailoverRetryAfter = milliseconds(1000);
constexpr Duration kMinRetryAfter = milliseconds(10);
// Beyond the end of every log: the position of a commit that was acknowledged
// without one.
constexpr LogPosition kUnknownPosition{
    std::numeric_limits<Term>::max(),
    std::numeric_limits<std::uint64_t>::max()};

}  // namespace

// Queues a job again that did not run, or a read, which may safely run twice.
void SessionRouter::Retry(const JobPtr& job, const EndpointName& endpoint,
                          ReplyCode code, TimePoint now) {
  if (job->transaction_connection != 0) {
    Finish(job, UnansweredResult(JobResult::End::kLost, endpoint), now);
    return;
  }
  ++job->attempts;
  if (job->may_have_run && !GuaranteesNotRun(code)) {
    CountRepeatedSend(*job, now);
  }
  job->last_refusal = code;
  job->may_have_run = false;
  Duration pause = kUnreachablePause;
  if (code == ReplyCode::kBusy) {
    pause = kBusyPause * (1 << std::min(job->attempts - 1, kBusyDoublings));
  }
  if (code == ReplyCode::kBehind) pause = kBehindPause;
  if (code == ReplyCode::kNotPrimary) pause = kNotPrimaryPause;
  job->avoid_until[endpoint] = now + pause;
  ReportDecision(RoutingDecision::Kind::kRetried, *job, endpoint, code, now);
  if (now >= job->deadline) {
    Refuse(job, code, now);
    return;
  }
  if (job->queued == TimePoint{}) job->queued = now;
  Enqueue(job);
  ScheduleTick(now);
}

void SessionRouter::OnNoAnswer(const JobPtr& job, const EndpointName& endpoint,
                               JobResult::End end, TimePoint now) {
  if (job->done || job->running > 0) return;
  const bool lost = end == JobResult::End::kLost;
  ReportDecision(
      lost ? RoutingDecision::Kind::kLost : RoutingDecision::Kind::kTimedOut,
      *job, endpoint, ReplyCode::kOther, now);
  const bool repeatable =
      job->begin.has_value() || (!job->has_effect && !job->commits);
  if (lost && repeatable && job->transaction_connection == 0 &&
      job->attempts < kMaxAttempts && now < job->deadline) {
    Retry(job, endpoint, ReplyCode::kOther, now);
    return;
  }
  Finish(job, UnansweredResult(end, endpoint), now);
}

void SessionRouter::Refuse(const JobPtr& job, ReplyCode reason, TimePoint now,
                           Duration retry_after) {
  ReportDecision(RoutingDecision::Kind::kRefused, *job, "", reason, now);
  JobResult result;
  result.end = JobResult::End::kNotRun;
  result.reason = reason;
  const Service& service = services_[job->service];
  std::int64_t slots = 1;
  for (const auto& [name, endpoint] : service.endpoints) {
    slots += endpoint->record.slots;
  }
  if (retry_after > Duration{0}) {
    result.retry_after = retry_after;
  } else if (!job->needs_primary ||
             leases_.FindValid(job->service, now) != nullptr) {
    result.retry_after = std::max<Duration>(
        kMinRetryAfter,
        kAssumedRunTime * static_cast<int>(service.queue.size()) / slots);
  } else if (service.primary_ready_at > now &&
             service.primary_ready_at != TimePoint::max()) {
    result.retry_after = service.primary_ready_at - now;
  } else {
    result.retry_after = kFailoverRetryAfter;
  }
  Finish(job, result, now);
}

void SessionRouter::Finish(const JobPtr& job, const JobResult& result,
                           TimePoint now) {
  if (std::exchange(job->done, true)) return;
  if (result.end == JobResult::End::kAnswered) {
    ReportDecision(RoutingDecision::Kind::kAnswered, *job, result.endpoint,
                   result.reply.code, now);
  }
  RecordAcknowledgement(*job, result);
  const std::shared_ptr<JobOwner> owner = std::move(job->owner);
  job->owner = nullptr;
  owner->OnJobDone(result, now);
}

void SessionRouter::RecordAcknowledgement(const StatementJob& job,
                                          const JobResult& result) {
  const bool committed = result.end == JobResult::End::kAnswered &&
                         result.reply.code == ReplyCode::kOk &&
                         job.has_effect && result.connection == 0;
  if (!committed) return;
  LogPosition& acknowledged = services_[job.service].acknowledged;
  acknowledged =
      std::max(acknowledged, result.reply.position.value_or(kUnknownPosition));
}

// Settles writes that succeeded on an endpoint whose primary lease had expired.
// If the lease was renewed in the same term, no other endpoint was promoted and
// the write is confirmed; otherwise the write may be lost.
void SessionRouter::SettleUnconfirmedWrites(TimePoint now) {
  std::list<UnconfirmedWrite> settled;
  for (auto entry = unconfirmed_.begin(); entry != unconfirmed_.end();) {
    const PrimaryLease* lease = leases_.FindValid(entry->job->service, now);
    if (lease == nullptr && now < entry->until) {
      ++entry;
      continue;
    }
    if (lease == nullptr || lease->endpoint != entry->result.endpoint ||
        lease->term != entry->term) {
      entry->result.end = JobResult::End::kLost;
    }
    settled.splice(settled.end(), unconfirmed_, entry++);
  }
  for (UnconfirmedWrite& write : settled) {
    Finish(write.job, write.result, now);
  }
}

void SessionRouter::EndJobs(TimePoint now) {
  ended_ = true;
  std::vector<std::pair<JobPtr, EndpointName>> sent;
  std::vector<ConnectionId> busy;
  for (const auto& [id, connection] : connections_) {
    if (connection.job == nullptr) continue;
    busy.push_back(id);
    sent.emplace_back(connection.job, connection.endpoint);
  }
  for (const UnconfirmedWrite& write : unconfirmed_) {
    sent.emplace_back(write.job, write.result.endpoint);
  }
  unconfirmed_.clear();
  std::vector<JobPtr> queued;
  for (auto& [name, service] : services_) {
    const std::vector<JobPtr> jobs = service.queue.Jobs();
    queued.insert(queued.end(), jobs.begin(), jobs.end());
    service.queue.Clear();
  }
  for (LimitedJob& limited : std::exchange(limited_, {})) {
    queued.push_back(std::move(limited.job));
  }
  for (const ConnectionId id : busy) CloseConnection(id, now);
  for (const auto& [job, endpoint] : sent) {
    if (job->done) continue;
    if (!job->may_have_run && job->transaction_connection == 0) {
      Refuse(job, ReplyCode::kBusy, now);
    } else {
      Finish(job, UnansweredResult(JobResult::End::kLost, endpoint), now);
    }
  }
  for (const JobPtr& job : queued) {
    if (!job->done) Refuse(job, ReplyCode::kBusy, now);
  }
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
      ScheduleTick(next);
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
        endpoints_.at(name).RecordFailure(now);
        OnSessionClosed(id, ReplyCode::kTimeout, now);
      } else {
        ScheduleTick(connection.give_up_at);
      }
      continue;
    }
    if (job->deadline <= now) {
      const bool last = connection.step + 1 == connection.steps.size();
      const bool in_transaction =
          connection.in_transaction || job->begin.has_value() || job->commits;
      endpoints_.at(name).RecordFailure(now);
      UpdateLimit(endpoints_.at(name), [&](ConcurrencyLimit& limit) {
        limit.OnTimeout(services_[job->service].costs.ClassNumber(*job),
                        connection.sent_at, now);
      });
      if (!last || in_transaction) {
        CloseConnection(id, now);
        if (!last && !job->may_have_run && job->running == 0 &&
            !in_transaction) {
          Refuse(job, ReplyCode::kBusy, now);
          continue;
        }
      } else {
        ScheduleTick(connection.give_up_at);
      }
      ReportDecision(RoutingDecision::Kind::kTimedOut, *job, name,
                     ReplyCode::kTimeout, now);
      Finish(job, UnansweredResult(JobResult::End::kTimedOut, name), now);
      continue;
    }
    // Hedges a read without a reply on another endpoint; the first reply is
    // used.
    connection.hedge_at = TimePoint::max();
    ScheduleTick(job->deadline);
    if (services_[job->service].retries.TryTake(now)) {
      ++job->attempts;
      CountRepeatedSend(*job, now);
      job->avoid_until[name] = now + kUnreachablePause;
      ReportDecision(RoutingDecision::Kind::kHedged, *job, name,
                     ReplyCode::kTimeout, now);
      Enqueue(job);
    }
  }
}

Duration SessionRouter::RemainingLease(const StatementJob& job,
                                       TimePoint now) const {
  const PrimaryLease* lease = leases_.FindLatest(job.service);
  return lease == nullptr ? Duration{-1} : lease->expires - now;
}

void SessionRouter::ReportDecision(RoutingDecision::Kind kind,
                                   const StatementJob& job,
                                   std::string_view endpoint, ReplyCode code,
                                   TimePoint now, LogPosition required,
                                   ConnectionId connection) {
  RoutingDecision decision;
  decision.kind = kind;
  decision.job = &job;
  decision.endpoint = endpoint;
  decision.required = required;
  decision.connection = connection;
  decision.code = code;
  const auto it = endpoints_.find(EndpointName(endpoint));
  if (it != endpoints_.end()) decision.endpoint_position = it->second.position;
  decision.elapsed = now - job.received;
  decision.remaining_lease = RemainingLease(job, now);
  observer_.OnRouting(decision);
}

}  // namespace carawayhaven
