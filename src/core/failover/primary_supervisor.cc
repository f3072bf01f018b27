#include "core/failover/primary_supervisor.h"

#include <algorithm>
#include <utility>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAskInterval = milliseconds(250);
constexpr Duration kFastAskInterval = milliseconds(80);
// Without an answer for this long no more rights are granted. Longer than an
// interval and two round trips between regions.
constexpr Duration kSuspectAfter = milliseconds(600);
// The same when what was asked of it has failed, as it does at once after a
// crash: longer than a restart of one connection takes.
constexpr Duration kSuspectFailingAfter = milliseconds(300);
// Without an answer for this long the primary is replaced.
constexpr Duration kDeadAfter = milliseconds(1200);
// The same when other VMs than this one cannot reach it.
constexpr Duration kMostFailTime = milliseconds(1000);
constexpr Duration kReportAge = milliseconds(1500);
// An answer about replication counts for this long.
constexpr Duration kStatusAge = milliseconds(2000);
// A report may have been on its way for this long, which makes the answer that
// it tells of look newer than it is.
constexpr Duration kReportTransit = milliseconds(250);
// Replicas that have not answered by then are not candidates.
constexpr Duration kChoiceTime = milliseconds(500);
// A replica that takes over on purpose has this long to receive the whole log.
constexpr Duration kHandoverTime = milliseconds(1500);
// Comparison of the replicas and the two writes before an order.
constexpr Duration kOrderTime = milliseconds(200);
constexpr Duration kRetryPause = milliseconds(150);
constexpr Duration kExclusion = std::chrono::seconds(3);
// A promotion without effect for this long is ordered again.
constexpr Duration kPromotionTime = milliseconds(3000);

std::string_view StateName(int state) {
  constexpr std::string_view kNames[] = {"passive",   "searching", "serving",
                                         "stopped",   "choosing",  "promoting",
                                         "confirming"};
  return kNames[state];
}

}  // namespace

PrimarySupervisor::PrimarySupervisor(
    const PrimarySupervisorContext& environment, ServiceName service)
    : environment_(environment),
      service_(std::move(service)),
      alive_(std::make_shared<PrimarySupervisor*>(this)) {}

void PrimarySupervisor::OnRecord(const PrimaryRecord& record,
                                 ObjectVersion version) {
  if (version <= record_version_) return;
  record_version_ = version;
  record_ = record;
  record_writes_ = std::max(record_writes_, record.writes);
}

void PrimarySupervisor::OnReport(const VmName& vm, const PrimaryReport& report,
                                 TimePoint now) {
  reports_[vm] = {report, now};
}

const EndpointState* PrimarySupervisor::Find(const EndpointName& name) const {
  const auto found = environment_.endpoints.find(name);
  return found == environment_.endpoints.end() ? nullptr : &found->second;
}

EndpointProbe& PrimarySupervisor::ProbeOf(const EndpointState& endpoint) {
  std::unique_ptr<EndpointProbe>& probe = probes_[endpoint.record.name];
  const bool stale = probe != nullptr &&
                     (probe->record().address != endpoint.record.address ||
                      probe->record().started_ms != endpoint.record.started_ms);
  if (probe == nullptr || stale) {
    probe = std::make_unique<EndpointProbe>(environment_.link, endpoint.record);
  }
  return *probe;
}

void PrimarySupervisor::Enter(State state, std::string_view why, Duration age,
                              TimePoint now) {
  state_ = state;
  entered_ = now;
  // What is under way belongs to the state that ends.
  ++attempt_;
  busy_ = false;
  recorded_ = false;
  next_ask_ = now;
  next_ = now;
  environment_.observer.OnPrimaryStateChanged(
      service_, StateName(static_cast<int>(state)), primary_, term_, why, age);
}

std::optional<LeaseGrant> PrimarySupervisor::GrantableLease(
    TimePoint now) const {
  if (state_ != State::kServing || !environment_.duty.IsLeader(now)) {
    return std::nullopt;
  }
  LeaseGrant right;
  right.service = service_;
  right.endpoint = primary_;
  right.term = term_;
  right.time_left = LeaderElection::kPrimaryLeaseDuration;
  const auto probe = probes_.find(primary_);
  if (probe != probes_.end() && probe->second->position()) {
    right.position = *probe->second->position();
    right.position_age = now - probe->second->queried_at();
  }
  return right;
}

std::optional<Duration> PrimarySupervisor::TimeUntilReady(TimePoint now) const {
  switch (state_) {
    case State::kPassive:
    case State::kSearching:
    case State::kServing:
      return std::nullopt;
    case State::kStopped: {
      const TimePoint withdrawn = recorded_ ? recorded_at_ : now;
      const TimePoint expired = std::max(stopped_at_, withdrawn) +
                                LeaderElection::kPrimaryLeaseDuration +
                                LeaderElection::kClockDriftMargin;
      return std::max(expired - now, Duration{0}) + kOrderTime +
             promotion_time_;
    }
    case State::kChoosing:
    case State::kPromoting:
      return kOrderTime + promotion_time_;
    case State::kConfirming:
      return std::max(entered_ + promotion_time_ - now, Duration{0});
  }
  return std::nullopt;
}

void PrimarySupervisor::Tick(TimePoint now) {
  if (now < next_) return;
  next_ = now + kFastAskInterval;
  if (!environment_.duty.IsLeader(now)) {
    if (state_ != State::kPassive) {
      probes_.clear();
      Enter(State::kPassive, "not_holder", Duration{0}, now);
    }
    next_ = now + kAskInterval;
    return;
  }
  for (const auto& [name, probe] : probes_) probe->Tick(now);
  switch (state_) {
    case State::kPassive:
      primary_.clear();
      term_ = 0;
      stopped_at_ = now;
      Enter(State::kSearching, "holder", Duration{0}, now);
      return;
    case State::kSearching:
      Search(now);
      return;
    case State::kServing:
      Serve(now);
      return;
    case State::kStopped:
      Stopped(now);
      return;
    case State::kChoosing:
      Choose(now);
      return;
    case State::kPromoting:
      Promote(now);
      return;
    case State::kConfirming:
      Confirm(now);
      return;
  }
}

void PrimarySupervisor::AskAll(TimePoint now) {
  if (now < next_ask_) return;
  next_ask_ = now + kFastAskInterval;
  for (const auto& [name, endpoint] : environment_.endpoints) {
    if (endpoint.record.service == service_) ProbeOf(endpoint).Query(now);
  }
}

// The primary is the endpoint that leads the highest term; an order that was
// recorded but not seen to take effect is completed first.
void PrimarySupervisor::Search(TimePoint now) {
  if (record_ && record_->phase == PrimaryPhase::kPromoting) {
    chosen_ = record_->primary;
    term_ = record_->term;
    Enter(State::kPromoting, "recorded_order", Duration{0}, now);
    return;
  }
  AskAll(now);
  const EndpointProbe* best = nullptr;
  for (const auto& [name, probe] : probes_) {
    if (!probe->status() || !probe->status()->is_primary ||
        probe->answered_at() < entered_) {
      continue;
    }
    if (best == nullptr || probe->status()->term > best->status()->term) {
      best = probe.get();
    }
  }
  // The probes may find no free connection while callers' statements run there.
  if (best == nullptr && record_ && record_->phase == PrimaryPhase::kServing &&
      !SaysReplica(record_->primary, now)) {
    primary_ = record_->primary;
    const TimePoint alive = AliveAt();
    if (alive > entered_) {
      term_ = record_->term;
      Enter(State::kServing, "recorded_and_used", now - alive, now);
      return;
    }
  }
  // One that leads a term no newer than the record's may be an old primary that
  // was cut off when it was replaced.
  const bool expected =
      best != nullptr && (!record_ || record_->primary == best->record().name ||
                          best->status()->term > record_->term);
  if (expected) {
    primary_ = best->record().name;
    term_ = best->status()->term;
    Enter(State::kServing, "status", now - best->queried_at(), now);
    return;
  }
  if (now - entered_ < kSuspectAfter) return;
  EndpointName believed = record_ ? record_->primary : EndpointName();
  for (const auto& [name, endpoint] : environment_.endpoints) {
    if (believed.empty() && endpoint.record.service == service_ &&
        endpoint.record.claims_primary) {
      believed = name;
    }
  }
  primary_ = believed;
  for (const auto& [name, probe] : probes_) {
    if (probe->status()) term_ = std::max(term_, probe->status()->term);
  }
  Enter(State::kStopped, "no_primary_found", now - entered_, now);
}

TimePoint PrimarySupervisor::AliveAt() const {
  TimePoint alive{};
  const auto probe = probes_.find(primary_);
  if (probe != probes_.end()) alive = probe->second->last_alive_at();
  if (const EndpointState* endpoint = Find(primary_)) {
    alive = std::max(alive, endpoint->last_answer);
  }
  for (const auto& [vm, report] : reports_) {
    if (report.report.endpoint != primary_) continue;
    alive = std::max(alive, report.received - report.report.answer_age);
  }
  return alive;
}

bool PrimarySupervisor::MostVmsFail(TimePoint now) const {
  std::size_t failing = 0;
  std::size_t count = 0;
  for (const auto& [vm, report] : reports_) {
    if (report.report.endpoint != primary_ ||
        now - report.received > kReportAge) {
      continue;
    }
    ++count;
    if (report.report.failing) ++failing;
  }
  return count >= 2 && 2 * failing > count;
}

bool PrimarySupervisor::SaysReplica(const EndpointName& endpoint,
                                    TimePoint now) const {
  const auto found = probes_.find(endpoint);
  return found != probes_.end() && found->second->status() &&
         !found->second->status()->is_primary &&
         now - found->second->answered_at() < kStatusAge;
}

bool PrimarySupervisor::Leaves() const {
  const EndpointState* endpoint = Find(primary_);
  return endpoint == nullptr || endpoint->leaving_since != TimePoint::max() ||
         !endpoint->AcceptsWork(environment_.clock());
}

void PrimarySupervisor::Serve(TimePoint now) {
  const EndpointState* endpoint = Find(primary_);
  if (endpoint == nullptr) {
    stopped_at_ = now;
    Enter(State::kStopped, "endpoint_unknown", Duration{0}, now);
    return;
  }
  EndpointProbe& probe = ProbeOf(*endpoint);
  if (now >= next_ask_) {
    next_ask_ = now + kAskInterval;
    probe.Query(now);
  }
  if (probe.status() && probe.answered_at() >= entered_ &&
      !probe.status()->is_primary) {
    stopped_at_ = now;
    Enter(State::kSearching, "not_primary", now - probe.queried_at(), now);
    return;
  }
  if (probe.status() && probe.status()->is_primary) {
    term_ = std::max(term_, probe.status()->term);
  }
  if (!recorded_ && !busy_ && now >= retry_at_) {
    WriteRecord({primary_, term_, PrimaryPhase::kServing, 0}, now);
  }
  const TimePoint alive = std::max(AliveAt(), entered_);
  if (!MostVmsFail(now)) {
    most_fail_since_ = TimePoint::max();
  } else if (most_fail_since_ == TimePoint::max()) {
    most_fail_since_ = now;
  }
  const bool most_fail = most_fail_since_ != TimePoint::max() &&
                         now - most_fail_since_ >= kMostFailTime;
  const bool failing =
      probe.failing() && endpoint->failing_since != TimePoint::max();
  const Duration patience = failing ? kSuspectFailingAfter : kSuspectAfter;
  if (now - alive > patience || most_fail || Leaves()) {
    stopped_at_ = now;
    Enter(State::kStopped,
          Leaves()    ? "leaving"
          : most_fail ? "most_vms_fail"
                      : "no_answer",
          now - alive, now);
  }
}

void PrimarySupervisor::Stopped(TimePoint now) {
  const EndpointState* endpoint = Find(primary_);
  if (endpoint != nullptr && now >= next_ask_) {
    next_ask_ = now + kFastAskInterval;
    ProbeOf(*endpoint).Query(now);
  }
  const TimePoint alive = AliveAt();
  const bool most_fail = MostVmsFail(now);
  const bool replica = SaysReplica(primary_, now);
  if (endpoint != nullptr && !Leaves() && !most_fail && !replica &&
      alive > entered_ + kReportTransit) {
    Enter(State::kSearching, "answers_again", now - alive, now);
    return;
  }
  // VMs that no peer reaches take their right from the record, so it has to be
  // withdrawn as well.
  if (!recorded_) {
    if (!busy_ && now >= retry_at_) {
      WriteRecord({primary_, term_, PrimaryPhase::kStopping, 0}, now);
    }
    return;
  }
  const bool expired = now >= std::max(stopped_at_, recorded_at_) +
                                  LeaderElection::kPrimaryLeaseDuration +
                                  LeaderElection::kClockDriftMargin;
  if (!expired || !environment_.duty.MayPromote(now)) return;
  if (!Leaves() && !most_fail && !replica && now - alive < kDeadAfter) return;
  handover_position_.reset();
  chosen_.clear();
  Enter(State::kChoosing,
        Leaves()  ? "leaving"
        : replica ? "leads_no_more"
                  : "dead",
        now - alive, now);
}

// Compares the replicas. The old primary is told to step down where it can be
// reached, so that its log does not grow beyond what a replica receives.
void PrimarySupervisor::Choose(TimePoint now) {
  AskAll(now);
  const EndpointProbe* best = nullptr;
  std::size_t missing = 0;
  for (const auto& [name, endpoint] : environment_.endpoints) {
    if (endpoint.record.service != service_ || name == primary_) continue;
    if (endpoint.leaving_since != TimePoint::max() ||
        !endpoint.AcceptsWork(now)) {
      continue;
    }
    const auto excluded = excluded_.find(name);
    if (excluded != excluded_.end() && excluded->second > now) continue;
    const EndpointProbe& probe = ProbeOf(endpoint);
    if (!probe.status() || probe.answered_at() < entered_) {
      ++missing;
      continue;
    }
    if (best == nullptr ||
        probe.status()->received > best->status()->received) {
      best = &probe;
    }
  }
  const Duration elapsed = now - entered_;
  if (best == nullptr) {
    if (elapsed > kHandoverTime) {
      Enter(State::kSearching, "no_candidate", elapsed, now);
    }
    return;
  }
  const EndpointState* old = Find(primary_);
  EndpointProbe* old_probe = nullptr;
  if (old != nullptr) {
    old_probe = &ProbeOf(*old);
    old_probe->StepDown(term_ + 1, now);
    if (old_probe->stepped_down() && !handover_position_) {
      handover_position_ = old_probe->status()->received;
    }
  }
  if (missing > 0 && elapsed < kChoiceTime) return;
  if (missing > 0 && sync_replicas_ > 0 && elapsed < kHandoverTime) return;
  const bool wait_for_log =
      handover_position_ && best->status()->received < *handover_position_;
  // One that has been silent for long is not going to answer.
  const bool wait_for_old = old_probe != nullptr && !handover_position_ &&
                            now - AliveAt() < kDeadAfter + kChoiceTime &&
                            elapsed < kChoiceTime;
  if ((wait_for_log || wait_for_old) && elapsed < kHandoverTime) return;
  chosen_ = best->record().name;
  Enter(State::kPromoting, "longest_log", now - best->queried_at(), now);
}

void PrimarySupervisor::WriteRecord(PrimaryRecord record, TimePoint now) {
  if (record.phase == PrimaryPhase::kServing && record_ &&
      record_->phase == record.phase && record_->primary == record.primary &&
      record_->term == record.term) {
    recorded_ = true;
    return;
  }
  record.writes = ++record_writes_;
  busy_ = true;
  const std::uint64_t attempt = ++attempt_;
  retry_at_ = now + kRetryPause;
  environment_.store.Put(std::string(kPrimaryPrefix) + service_,
                         FormatRecord(record), record_version_,
                         [alive = std::weak_ptr(alive_), record,
                          attempt](const StoreReply& reply) {
                           const auto self = alive.lock();
                           if (self == nullptr) return;
                           PrimarySupervisor& keeper = **self;
                           const bool written =
                               reply.status == StoreStatus::kOk;
                           if (written) {
                             keeper.OnRecord(record, reply.object.version);
                           }
                           if (attempt != keeper.attempt_) return;
                           keeper.busy_ = false;
                           keeper.next_ = {};
                           if (!written) return;
                           keeper.retry_at_ = {};
                           keeper.recorded_ = true;
                           keeper.recorded_at_ = keeper.environment_.clock();
                         });
}

// The record comes first, so that a successor completes the order; the token
// shows that this VM still holds the duty right before the order goes out.
void PrimarySupervisor::Promote(TimePoint now) {
  if (busy_ || now < retry_at_) return;
  if (!environment_.duty.MayPromote(now)) return;
  if (!recorded_) {
    WriteRecord({chosen_, term_, PrimaryPhase::kPromoting, 0}, now);
    return;
  }
  busy_ = true;
  retry_at_ = now + kRetryPause;
  const std::uint64_t attempt = ++attempt_;
  environment_.duty.WriteFencingToken(
      [alive = std::weak_ptr(alive_), attempt,
       asked = now](std::optional<ObjectVersion> token) {
        const auto self = alive.lock();
        if (self == nullptr || attempt != (*self)->attempt_) return;
        PrimarySupervisor& keeper = **self;
        const TimePoint sent = keeper.environment_.clock();
        // A holder that was suspended meanwhile may have a successor.
        if (!token || sent - asked > LeaderElection::kPrimaryLeaseDuration ||
            !keeper.environment_.duty.IsLeader(sent)) {
          keeper.busy_ = false;
          return;
        }
        // The answer may be lost or late; the effect is looked for meanwhile.
        keeper.Enter(State::kConfirming, "ordered", Duration{0}, sent);
        keeper.environment_.promotions.Promote(
            keeper.service_, keeper.chosen_, keeper.environment_.self, *token,
            [alive, order = keeper.attempt_](PromotionResult result) {
              const auto same = alive.lock();
              if (same != nullptr) (*same)->OnPromoted(result, order);
            });
      });
}

void PrimarySupervisor::OnPromoted(PromotionResult result,
                                   std::uint64_t order) {
  if (order != attempt_ || state_ != State::kConfirming) return;
  const TimePoint now = environment_.clock();
  if (result == PromotionResult::kRefused) {
    excluded_[chosen_] = now + kExclusion;
    Enter(State::kChoosing, "order_refused", Duration{0}, now);
  } else if (result == PromotionResult::kUnavailable) {
    Enter(State::kPromoting, "order_not_taken", Duration{0}, now);
    // The record of the order stands.
    recorded_ = true;
    retry_at_ = now + kRetryPause;
  }
}

void PrimarySupervisor::Confirm(TimePoint now) {
  AskAll(now);
  const auto found = probes_.find(chosen_);
  if (found != probes_.end() && found->second->status() &&
      found->second->queried_at() >= entered_ &&
      found->second->status()->is_primary) {
    primary_ = chosen_;
    term_ = found->second->status()->term;
    reports_.clear();
    promotion_time_ = now - entered_;
    Enter(State::kServing, "promoted", now - found->second->queried_at(), now);
    return;
  }
  if (now - entered_ < kPromotionTime) return;
  Enter(State::kPromoting, "no_effect", now - entered_, now);
}

}  // namespace carawayhaven
