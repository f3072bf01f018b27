#include "core/failover/primary_keeper.h"

#include <algorithm>
#include <utility>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

constexpr Duration kQueryInterval = milliseconds(250);
constexpr Duration kFastQueryInterval = milliseconds(80);
// No more leases are granted when the primary has not answered for this long.
// Longer than a query interval and two round trips between regions.
constexpr Duration kSuspectAfter = milliseconds(600);
// As kSuspectAfter, when the connections to the primary fail, which they do
// immediately after a crash. Longer than it takes to reopen one connection.
constexpr Duration kSuspectFailingAfter = milliseconds(300);
// The primary is replaced when it has not answered for this long.
constexpr Duration kDeadAfter = milliseconds(1200);
// No more leases are granted when most of the VMs that report have been failing
// to reach the primary for this long, even if this VM reaches it.
constexpr Duration kMostVmsFailTime = milliseconds(1000);
// Older reports of other VMs are ignored.
constexpr Duration kMaxReportAge = milliseconds(1500);
// Older status answers do not count as a report that an endpoint is a replica.
constexpr Duration kMaxStatusAge = milliseconds(2000);
// A report may have been in transit for this long, which makes the answer that
// it reports look newer than it is.
constexpr Duration kMaxReportTransit = milliseconds(250);
// Replicas that have not answered within this time are not considered, unless
// commits wait for replicas. The promotion is then held back.
constexpr Duration kReplicaAnswerTimeout = milliseconds(500);
// A replica has this long to receive the whole log of a primary that stepped
// down.
constexpr Duration kHandoverTimeout = milliseconds(1500);
// An answer that a promotion depends on is waited for during this time.
constexpr Duration kLongestAnswerWait = std::chrono::seconds(4);
// For this long, a replica that has started again may be receiving the log that
// it lost, and without synchronous replicas a missing one is expected back.
constexpr Duration kReplicaReturnTime = std::chrono::seconds(10);
// Expected time for comparing the replicas and for the two writes before an
// order.
constexpr Duration kExpectedOrderTime = milliseconds(200);
// A log that grows while the promotion is held back is reported this often.
constexpr Duration kHoldReportInterval = std::chrono::seconds(1);
// The store usually answers a write within this time, also from another region.
constexpr Duration kExpectedWriteTime = milliseconds(500);
constexpr Duration kRetryInterval = milliseconds(150);
constexpr Duration kMaxRetryDelay = milliseconds(1200);
// An endpoint that refused an order is not chosen again for this long.
constexpr Duration kRefusalExclusionTime = std::chrono::seconds(3);
// A promotion that has not taken effect within this time is ordered again.
constexpr Duration kPromotionTimeout = milliseconds(3000);
// An order that was sent before the store was restored has taken effect this
// long after a VM learned of the restore.
constexpr Duration kOrderEffectTime =
    LeaderElection::kPrimaryLeaseDuration + kPromotionTimeout;
// Longer than an order takes that was sent just before the leader changed.
constexpr Duration kUnknownOrderWait = std::chrono::seconds(5);

std::string_view StateName(int state) {
  constexpr std::string_view kNames[] = {"passive",   "searching", "serving",
                                         "stopped",   "choosing",  "promoting",
                                         "confirming"};
  return kNames[state];
}

// Records that differ only in their number have the same effect.
bool HaveSameContent(const PrimaryRecord& a, const PrimaryRecord& b) {
  return a.primary == b.primary && a.term == b.term && a.phase == b.phase &&
         a.era == b.era && a.replaced == b.replaced &&
         a.replicas == b.replicas && a.base == b.base &&
         a.chosen_started_ms == b.chosen_started_ms;
}

// An empty log is behind all others, also if it states the present term.
LogPosition EndOfLog(LogPosition position) {
  return position.index == 0 ? LogPosition{} : position;
}

ReplicaProcess ProcessOf(const EndpointState& endpoint) {
  return {endpoint.record.name, endpoint.record.started_ms};
}

}  // namespace

PrimarySupervisor::PrimarySupervisor(const PrimarySupervisorContext& context,
                                     ServiceName service)
    : context_(context),
      service_(std::move(service)),
      alive_(std::make_shared<PrimarySupervisor*>(this)) {}

void PrimarySupervisor::SetSyncReplicas(std::uint32_t count) {
  if (sync_replicas_ == count) return;
  // Without synchronous replicas, the holders are not recorded.
  if (sync_replicas_ == 0U) holders_.AddUnknown();
  sync_replicas_ = count;
  next_tick_ = {};
}

void PrimarySupervisor::OnRecord(const PrimaryRecord& record,
                                 ObjectVersion version) {
  if (version <= record_version_ || EraOf(version) < context_.election.era()) {
    return;
  }
  record_version_ = version;
  record_ = record;
  recorded_ = true;
  record_readable_ = true;
  record_writes_ = std::max(record_writes_, record.writes);
  if (pending_record_ && HaveSameContent(*pending_record_, record)) {
    OnRecordWritten();
  }
}

void PrimarySupervisor::OnUnreadableRecord(ObjectVersion version,
                                           bool may_replace) {
  if (version <= record_version_ || EraOf(version) < context_.election.era()) {
    return;
  }
  record_readable_ = false;
  unreadable_version_ = version;
  if (!may_replace) return;
  record_version_ = version;
  record_written_ = false;
}

void PrimarySupervisor::OnRecordRemoved() {
  record_.reset();
  record_version_ = 0;
  record_readable_ = true;
  unreadable_version_ = 0;
}

const PrimaryRecord* PrimarySupervisor::current_record() const {
  const std::uint64_t era = context_.election.era();
  const bool current = record_ && record_readable_ &&
                       EraOf(record_version_) == era &&
                       record_->era.value_or(era) == era;
  return current ? &*record_ : nullptr;
}

void PrimarySupervisor::OnReport(const VmName& vm, const PrimaryReport& report,
                                 TimePoint now) {
  reports_[vm] = {report, now};
}

const EndpointState* PrimarySupervisor::Find(const EndpointName& name) const {
  const auto found = context_.endpoints.find(name);
  return found == context_.endpoints.end() ? nullptr : &found->second;
}

EndpointProbe& PrimarySupervisor::ProbeOf(const EndpointState& endpoint) {
  std::unique_ptr<EndpointProbe>& probe = probes_[endpoint.record.name];
  const bool stale = probe != nullptr &&
                     (probe->record().address != endpoint.record.address ||
                      probe->record().started_ms != endpoint.record.started_ms);
  if (probe == nullptr || stale) {
    probe = std::make_unique<EndpointProbe>(context_.link, endpoint.record,
                                            context_.observer);
  }
  return *probe;
}

void PrimarySupervisor::Enter(State state, std::string_view why, Duration age,
                              TimePoint now) {
  state_ = state;
  state_entered_at_ = now;
  ++state_entries_;
  // Invalidates the calls in flight: they belong to the state that ends.
  ++attempt_;
  pending_record_.reset();
  retry_delay_ = kRetryInterval;
  record_written_ = false;
  holders_recorded_ = false;
  held_ = false;
  reported_hold_.reset();
  next_query_ = now;
  next_tick_ = now;
  context_.observer.OnPrimaryStateChanged(
      service_, StateName(static_cast<int>(state)), primary_, term_, why, age);
}

std::optional<LeaseGrant> PrimarySupervisor::GrantableLease(
    TimePoint now) const {
  if (state_ != State::kServing || era_ != context_.election.era() ||
      !context_.election.IsLeader(now)) {
    return std::nullopt;
  }
  // A successor that does not know of a replica, or that the order has taken
  // effect, could promote an endpoint that lacks its commits.
  if (sync_replicas_ != 0U && (!holders_recorded_ || HasOrder())) {
    return std::nullopt;
  }
  LeaseGrant lease;
  lease.service = service_;
  lease.endpoint = primary_;
  lease.term = term_;
  lease.time_left = LeaderElection::kPrimaryLeaseDuration;
  const auto probe = probes_.find(primary_);
  if (probe == probes_.end()) return lease;
  const auto& position = probe->second->position();
  if (position && IsPositionOfPrimary(*probe->second)) {
    lease.position = position->value;
    lease.position_age = now - position->as_of;
  }
  return lease;
}

// A position that the endpoint reported as a replica says nothing about what it
// has acknowledged as the primary.
bool PrimarySupervisor::IsPositionOfPrimary(const EndpointProbe& probe) const {
  const TimePoint as_of = probe.position()->as_of;
  const ReplicationStatus* status = probe.LastStatus();
  return as_of >= state_entered_at_ ||
         (status != nullptr && status->is_primary &&
          as_of >= probe.status_as_of());
}

bool PrimarySupervisor::IsReplacing() const {
  return state_ == State::kStopped || state_ == State::kChoosing ||
         state_ == State::kPromoting || state_ == State::kConfirming;
}

bool PrimarySupervisor::AwaitsStore(TimePoint now) const {
  return state_ == State::kServing && sync_replicas_ > 0U && HasOrder() &&
         now - state_entered_at_ >= kExpectedWriteTime;
}

std::optional<PrimaryAbsence> PrimarySupervisor::FindAbsence(
    TimePoint now) const {
  PrimaryAbsence absence{service_, std::nullopt};
  if (AwaitsStore(now)) return absence;
  if (!IsReplacing()) return std::nullopt;
  if (state_ == State::kStopped) {
    const TimePoint withdrawn = record_written_ ? record_written_at_ : now;
    const TimePoint expired = LeaseEndAfter(withdrawn);
    absence.ready_in = std::max(expired - now, Duration{0}) +
                       kExpectedOrderTime + last_promotion_time_;
  } else if (state_ == State::kConfirming) {
    absence.ready_in =
        std::max(state_entered_at_ + last_promotion_time_ - now, Duration{0});
  } else if (!held_) {
    absence.ready_in = kExpectedOrderTime + last_promotion_time_;
  }
  return absence;
}

void PrimarySupervisor::Tick(TimePoint now) {
  if (state_ != State::kPassive && era_ != context_.election.era()) {
    probes_.clear();
    Enter(State::kPassive, "store_restored", Duration{0}, now);
  }
  if (now < next_tick_) return;
  next_tick_ = now + kFastQueryInterval;
  if (!context_.election.IsLeader(now)) {
    if (state_ != State::kPassive) {
      probes_.clear();
      Enter(State::kPassive, "not_holder", Duration{0}, now);
    }
    next_tick_ = now + kQueryInterval;
    return;
  }
  for (const auto& [name, probe] : probes_) probe->Tick(now);
  if (state_ != State::kPassive && sync_replicas_ > 0U) UpdateHolders(now);
  switch (state_) {
    case State::kPassive:
      primary_.clear();
      term_ = 0;
      grants_stopped_at_ = now;
      era_ = context_.election.era();
      holders_.Load(current_record(),
                    !recorded_ && unreadable_version_ == 0 && era_ == 0);
      Enter(State::kSearching, "holder", Duration{0}, now);
      return;
    case State::kSearching:
      SearchPrimary(now);
      return;
    case State::kServing:
      MonitorPrimary(now);
      return;
    case State::kStopped:
      AwaitLeaseExpiry(now);
      return;
    case State::kChoosing:
      ChooseReplica(now);
      return;
    case State::kPromoting:
      Promote(now);
      return;
    case State::kConfirming:
      ConfirmPromotion(now);
      return;
  }
}

void PrimarySupervisor::QueryReplicasIfNeeded(TimePoint now) {
  std::vector<const EndpointState*> replicas;
  bool needed = holders_.HasEnded();
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service != service_ || name == primary_) continue;
    const bool is_missing = endpoint.missing_since != TimePoint::max();
    if (is_missing && holders_.Find(ProcessOf(endpoint)) == nullptr) continue;
    needed = needed || is_missing;
    replicas.push_back(&endpoint);
  }
  if (!needed) return;
  for (const EndpointState* replica : replicas) ProbeOf(*replica).Query(now);
}

void PrimarySupervisor::QueryAll(TimePoint now) {
  if (now < next_query_) return;
  next_query_ = now + kFastQueryInterval;
  const bool needs_answers =
      state_ == State::kConfirming ||
      (state_ == State::kChoosing && sync_replicas_ > 0U);
  const Duration longest_wait =
      needs_answers ? kLongestAnswerWait : EndpointProbe::kAnswerTimeout;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service != service_) continue;
    ProbeOf(endpoint).Query(now, longest_wait);
  }
}

// The primary is the endpoint that is primary in the highest term. A promotion
// that was recorded, but whose effect was not observed, is completed first.
void PrimarySupervisor::SearchPrimary(TimePoint now) {
  if (unreadable_version_ > record_version_) {
    // The order of an earlier leader may have been overwritten.
    if (!context_.election.MayPromote(now) ||
        now - state_entered_at_ < kUnknownOrderWait) {
      return;
    }
    record_.reset();
    record_version_ = unreadable_version_;
  }
  const PrimaryRecord* record = current_record();
  if (record != nullptr && record->phase == PrimaryPhase::kPromoting) {
    ResumePromotion(*record, now);
    return;
  }
  QueryAll(now);
  const EndpointProbe* best = nullptr;
  for (const auto& [name, probe] : probes_) {
    const ReplicationStatus* status = probe->StatusSince(state_entered_at_);
    if (status == nullptr || !status->is_primary) continue;
    // Also the former name of an endpoint may still lead to it.
    const auto rank = [this, now](const EndpointProbe& candidate) {
      const EndpointState* endpoint = Find(candidate.record().name);
      return std::pair(candidate.LastStatus()->term,
                       endpoint != nullptr && endpoint->AcceptsWork(now));
    };
    if (best == nullptr || rank(*probe) > rank(*best)) best = probe.get();
  }
  if (record == nullptr && IsRecordMissing(best)) {
    SearchWithoutRecord(best, now);
    return;
  }
  // Probes may find no free connection at the endpoint while the statements of
  // callers use them all; answers to these show that the primary is alive.
  if (best == nullptr && record != nullptr &&
      record->phase == PrimaryPhase::kServing &&
      !ReportsReplicaRole(record->primary, now)) {
    primary_ = record->primary;
    const TimePoint alive = LastAliveAt();
    if (alive > state_entered_at_) {
      term_ = record->term;
      BeginServing("recorded_and_used", now - alive, now);
      return;
    }
  }
  // An endpoint other than the recorded primary may be an old primary that was
  // cut off when it was replaced, unless its term is newer than the record's.
  // In the same term it is the recorded one, which came back under another
  // name.
  const bool expected =
      best != nullptr &&
      (record == nullptr || record->primary == best->record().name ||
       best->LastStatus()->term >= record->term);
  if (expected) {
    Serve(*best, "status", now);
  } else if (now - state_entered_at_ >= kSuspectAfter) {
    StopWithoutPrimary(now);
  }
}

// An endpoint that leads an older term than another one has seen was replaced,
// and so there was a record.
bool PrimarySupervisor::IsRecordMissing(const EndpointProbe* best) const {
  return era_ != 0 || recorded_ || unreadable_version_ != 0 ||
         (best != nullptr && best->LastStatus()->term < KnownTerm());
}

// The endpoint may have started again since it was chosen, and then it may have
// lost its log. It is not promoted unless the order has taken effect already.
void PrimarySupervisor::ResumePromotion(const PrimaryRecord& record,
                                        TimePoint now) {
  chosen_ = record.primary;
  chosen_started_ms_ = record.chosen_started_ms;
  chosen_reached_ = record.base.value_or(LogPosition{});
  const bool is_safe = sync_replicas_ == 0U || !MayHaveRestarted();
  if (!is_safe && now - state_entered_at_ < kSuspectAfter) return;
  chosen_at_ = now;
  primary_ = record.replaced;
  term_ = record.term;
  Enter(is_safe ? State::kPromoting : State::kConfirming, "recorded_order",
        Duration{0}, now);
}

void PrimarySupervisor::Serve(const EndpointProbe& probe, std::string_view why,
                              TimePoint now) {
  primary_ = probe.record().name;
  term_ = probe.LastStatus()->term;
  // An endpoint that this leader has not chosen may have been promoted by
  // another party. It holds what was acknowledged before, as far as is known.
  if (primary_ != chosen_) chosen_reached_ = probe.LastStatus()->received;
  BeginServing(why, now - probe.status_as_of(), now);
}

void PrimarySupervisor::BeginServing(std::string_view why, Duration age,
                                     TimePoint now) {
  Enter(State::kServing, why, age, now);
  retry_at_ = {};
  holders_.SetPrimary(primary_, chosen_reached_);
  if (sync_replicas_ > 0U) RenewHolders(now);
}

void PrimarySupervisor::StopWithoutPrimary(TimePoint now) {
  primary_ = RecordedPrimary();
  term_ = std::max(term_, KnownTerm());
  Enter(State::kStopped, "no_primary_found", now - state_entered_at_, now);
}

// The store may have lost the record of a promotion. A promotion is allowed
// only when the leases of all earlier leaders have expired, and the primary is
// not given up before either.
void PrimarySupervisor::SearchWithoutRecord(const EndpointProbe* best,
                                            TimePoint now) {
  const bool newest =
      best != nullptr && best->LastStatus()->term >= KnownTerm();
  const bool last_resort = context_.election.MayPromote(now) &&
                           now - state_entered_at_ >= kSuspectAfter;
  // An order that was sent in an earlier era may still take effect.
  const bool orders_done =
      !recorded_ || now - context_.election.era_since() >= kOrderEffectTime;
  if (newest && (last_resort || HasLease(*best, now) ||
                 (orders_done && IsConfirmed(*best, now)))) {
    Serve(*best, "confirmed", now);
  } else if (last_resort) {
    // No VM takes a lease from a record of an earlier era, so none has to be
    // withdrawn.
    primary_ = KnownPrimary();
    if (best != nullptr && primary_ == best->record().name) primary_.clear();
    term_ = KnownTerm();
    handover_position_.reset();
    chosen_.clear();
    Enter(State::kChoosing, "no_primary_found", now - state_entered_at_, now);
  }
}

EndpointName PrimarySupervisor::KnownPrimary() const {
  const PrimaryLease* lease = context_.leases.FindLatest(service_);
  if (lease != nullptr && (!record_ || lease->term >= record_->term)) {
    return lease->endpoint;
  }
  return RecordedPrimary();
}

EndpointName PrimarySupervisor::RecordedPrimary() const {
  if (record_ && !record_->primary.empty()) return record_->primary;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service == service_ && endpoint.record.claims_primary) {
      return name;
    }
  }
  return {};
}

Term PrimarySupervisor::KnownTerm() const {
  Term term = record_ ? record_->term : 0;
  if (const PrimaryLease* lease = context_.leases.FindLatest(service_)) {
    term = std::max(term, lease->term);
  }
  for (const auto& [name, probe] : probes_) {
    if (const ReplicationStatus* status = probe->LastStatus()) {
      term = std::max(term, status->term);
    }
  }
  return term;
}

// No primary is replaced while a lease for it is valid.
bool PrimarySupervisor::HasLease(const EndpointProbe& best,
                                 TimePoint now) const {
  const PrimaryLease* lease = context_.leases.FindValid(service_, now);
  return lease != nullptr && lease->endpoint == best.record().name;
}

bool PrimarySupervisor::IsConfirmed(const EndpointProbe& best,
                                    TimePoint now) const {
  std::size_t endpoints = 0;
  std::size_t answered = 0;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service != service_) continue;
    ++endpoints;
    const auto probe = probes_.find(name);
    if (probe != probes_.end() &&
        probe->second->StatusSince(
            std::max(state_entered_at_, now - kMaxStatusAge)) != nullptr) {
      ++answered;
    }
  }
  if (answered == endpoints) return true;
  // Replicas follow a new primary, and VMs that have used it name it in their
  // reports.
  const bool contradicted =
      std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
        const Report& report = entry.second;
        return now - report.received <= kMaxReportAge &&
               report.report.endpoint != best.record().name;
      });
  return !contradicted && 2 * answered > endpoints &&
         now - state_entered_at_ >= kSuspectAfter;
}

TimePoint PrimarySupervisor::LastAliveAt() const {
  TimePoint alive{};
  const auto probe = probes_.find(primary_);
  if (probe != probes_.end()) alive = probe->second->last_alive_at();
  if (const EndpointState* endpoint = Find(primary_)) {
    alive = std::max(alive, endpoint->last_answer);
  }
  return std::max(alive, LastReportedAliveAt());
}

// The time that a report was in transit is not known and makes the answer that
// it reports look newer. So the second newest answer counts: one late report
// does not show that the primary answers.
TimePoint PrimarySupervisor::LastReportedAliveAt() const {
  TimePoint newest{};
  TimePoint second{};
  std::size_t count = 0;
  for (const auto& [vm, report] : reports_) {
    if (report.report.endpoint != primary_) continue;
    ++count;
    const TimePoint answered = report.received - report.report.answer_age;
    second = std::max(second, std::min(newest, answered));
    newest = std::max(newest, answered);
  }
  return count > 1 ? second : newest;
}

bool PrimarySupervisor::MostVmsReportFailure(TimePoint now) const {
  std::size_t failing = 0;
  std::size_t count = 0;
  for (const auto& [vm, report] : reports_) {
    if (report.report.endpoint != primary_ ||
        now - report.received > kMaxReportAge) {
      continue;
    }
    ++count;
    if (report.report.failing) ++failing;
  }
  return count >= 2 && 2 * failing > count;
}

bool PrimarySupervisor::ReportsReplicaRole(const EndpointName& endpoint,
                                           TimePoint now) const {
  const auto found = probes_.find(endpoint);
  if (found == probes_.end()) return false;
  const ReplicationStatus* status =
      found->second->StatusSince(now - kMaxStatusAge);
  return status != nullptr && !status->is_primary;
}

bool PrimarySupervisor::IsLeaving() const {
  const EndpointState* endpoint = Find(primary_);
  return endpoint == nullptr || endpoint->leaving_since != TimePoint::max() ||
         !endpoint->AcceptsWork(context_.clock());
}

void PrimarySupervisor::MonitorPrimary(TimePoint now) {
  const EndpointState* endpoint = Find(primary_);
  if (endpoint == nullptr) {
    grants_stopped_at_ = now;
    Enter(State::kStopped, "endpoint_unknown", Duration{0}, now);
    return;
  }
  EndpointProbe& probe = ProbeOf(*endpoint);
  if (now >= next_query_) {
    next_query_ = now + kQueryInterval;
    probe.Query(now);
    if (sync_replicas_ > 0U) QueryReplicasIfNeeded(now);
  }
  const ReplicationStatus* status = probe.StatusSince(state_entered_at_);
  if (status != nullptr && !status->is_primary) {
    grants_stopped_at_ = now;
    Enter(State::kSearching, "not_primary", now - probe.status_as_of(), now);
    return;
  }
  if (status != nullptr) term_ = std::max(term_, status->term);
  if (sync_replicas_ > 0U) RenewHolders(now);
  if (!record_written_ && now >= retry_at_) {
    WriteRecord({primary_, term_, PrimaryPhase::kServing, 0, era_, {}}, now);
  }
  const TimePoint alive = std::max(LastAliveAt(), state_entered_at_);
  if (!MostVmsReportFailure(now)) {
    most_fail_since_ = TimePoint::max();
  } else if (most_fail_since_ == TimePoint::max()) {
    most_fail_since_ = now;
  }
  const bool most_fail = most_fail_since_ != TimePoint::max() &&
                         now - most_fail_since_ >= kMostVmsFailTime;
  const bool failing =
      probe.failing() && endpoint->failing_since != TimePoint::max();
  const Duration threshold = failing ? kSuspectFailingAfter : kSuspectAfter;
  if (now - alive > threshold || most_fail || IsLeaving()) {
    grants_stopped_at_ = now;
    Enter(State::kStopped,
          IsLeaving() ? "leaving"
          : most_fail ? "most_vms_fail"
                      : "no_answer",
          now - alive, now);
  }
}

TimePoint PrimarySupervisor::LeaseEndAfter(TimePoint withdrawn) const {
  return std::max(grants_stopped_at_, withdrawn) +
         LeaderElection::kPrimaryLeaseDuration +
         LeaderElection::kClockDriftMargin;
}

// A term has one primary.
const EndpointProbe* PrimarySupervisor::FindReturnedPrimary() const {
  for (const auto& [name, probe] : probes_) {
    const ReplicationStatus* status = probe->StatusSince(state_entered_at_);
    if (name != primary_ && status != nullptr && status->is_primary &&
        status->term >= term_) {
      return probe.get();
    }
  }
  return nullptr;
}

void PrimarySupervisor::AwaitLeaseExpiry(TimePoint now) {
  const EndpointState* endpoint = Find(primary_);
  if (endpoint == nullptr || endpoint->missing_since != TimePoint::max()) {
    QueryAll(now);
    if (const EndpointProbe* returned = FindReturnedPrimary()) {
      Enter(State::kSearching, "returned", now - returned->status_as_of(), now);
      return;
    }
  } else if (now >= next_query_) {
    next_query_ = now + kFastQueryInterval;
    ProbeOf(*endpoint).Query(now);
  }
  const TimePoint alive = LastAliveAt();
  const bool vms_fail = MostVmsReportFailure(now);
  const bool replica = ReportsReplicaRole(primary_, now);
  if (endpoint != nullptr && !IsLeaving() && !vms_fail && !replica &&
      alive > state_entered_at_ + kMaxReportTransit) {
    Enter(State::kSearching, "answers_again", now - alive, now);
    return;
  }
  // VMs that reach no peer take their lease from the record, so the record must
  // be withdrawn as well.
  if (!record_written_) {
    if (now >= retry_at_) {
      WriteRecord({primary_, term_, PrimaryPhase::kStopping, 0, era_, {}}, now);
    }
    return;
  }
  const TimePoint lease_end = LeaseEndAfter(record_written_at_);
  if (now < lease_end) next_tick_ = std::min(next_tick_, lease_end);
  if (now < lease_end || !context_.election.MayPromote(now)) return;
  if (!IsLeaving() && !vms_fail && !replica && now - alive < kDeadAfter) return;
  handover_position_.reset();
  chosen_.clear();
  Enter(State::kChoosing,
        IsLeaving() ? "leaving"
        : replica   ? "leads_no_more"
                    : "dead",
        now - alive, now);
}

bool PrimarySupervisor::IsCandidate(const EndpointState& endpoint,
                                    TimePoint now) const {
  const auto excluded = excluded_until_.find(endpoint.record.name);
  if (excluded != excluded_until_.end() && excluded->second > now) return false;
  if (endpoint.leaving_since == TimePoint::max()) {
    return endpoint.AcceptsWork(now);
  }
  // A leaving replica is a last resort: it has to be replaced again soon.
  return sync_replicas_ > 0U && !endpoint.IsGone(now) &&
         now - state_entered_at_ >= kHandoverTimeout;
}

// The log of a replica that left as planned was transferred to its successor.
bool PrimarySupervisor::MayHoldLog(const EndpointState& endpoint,
                                   TimePoint now) const {
  if (endpoint.missing_since == TimePoint::max()) return true;
  if (endpoint.leaving_since != TimePoint::max()) return !endpoint.IsGone(now);
  if (sync_replicas_ > 0U && holders_.Find(ProcessOf(endpoint)) != nullptr) {
    return true;
  }
  return now - endpoint.missing_since < kReplicaReturnTime;
}

// An endpoint that cannot reach the store disappears from the registry, and may
// still receive commits.
bool PrimarySupervisor::IsRunning(const EndpointState& replica,
                                  TimePoint now) const {
  if (!replica.IsGone(now)) return true;
  const auto probe = probes_.find(replica.record.name);
  return probe != probes_.end() &&
         probe->second->record().started_ms == replica.record.started_ms &&
         now - probe->second->last_alive_at() <= kMaxStatusAge;
}

void PrimarySupervisor::UpdateHolders(TimePoint now) {
  std::vector<ReplicaProcess> running;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service == service_ && IsRunning(endpoint, now)) {
      running.push_back(ProcessOf(endpoint));
    }
  }
  const PrimaryRecord* record = current_record();
  const bool is_withdrawn =
      IsReplacing() || (state_ == State::kSearching && record != nullptr &&
                        record->phase != PrimaryPhase::kServing);
  holders_.SetRunning(running, is_withdrawn, now);
}

void PrimarySupervisor::RenewHolders(TimePoint now) {
  std::vector<LogPosition> reached;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service != service_ || name == primary_ ||
        !IsRunning(endpoint, now)) {
      continue;
    }
    holders_.Add(ProcessOf(endpoint));
    const auto probe = probes_.find(name);
    if (probe == probes_.end() ||
        probe->second->record().started_ms != endpoint.record.started_ms) {
      continue;
    }
    const auto& position = probe->second->position();
    if (position && position->as_of >= state_entered_at_) {
      reached.push_back(position->value);
    }
  }
  const auto primary = probes_.find(primary_);
  if (primary != probes_.end() && primary->second->position() &&
      IsPositionOfPrimary(*primary->second)) {
    const auto& position = *primary->second->position();
    holders_.OnPrimaryPosition(position.value, position.as_of);
  }
  holders_.RemoveMatched(reached, *sync_replicas_);
  const PrimaryRecord* record = current_record();
  if (record == nullptr || record->replicas != holders_.processes()) {
    record_written_ = false;
  }
  holders_recorded_ = holders_recorded_ || AreHoldersRecorded();
}

bool PrimarySupervisor::AreHoldersRecorded() const {
  const PrimaryRecord* record = current_record();
  if (record == nullptr || !record->replicas) return false;
  const std::vector<ReplicaProcess> processes = holders_.processes();
  return std::includes(record->replicas->begin(), record->replicas->end(),
                       processes.begin(), processes.end());
}

// During a promotion, the endpoints that will be the replicas of the new
// primary are named as well, so that it can serve at once.
std::vector<ReplicaProcess> PrimarySupervisor::ReplicasToRecord(
    PrimaryPhase phase, TimePoint now) const {
  std::vector<ReplicaProcess> processes = holders_.processes();
  if (phase != PrimaryPhase::kPromoting) return processes;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service == service_ && IsRunning(endpoint, now)) {
      processes.push_back(ProcessOf(endpoint));
    }
  }
  std::sort(processes.begin(), processes.end());
  processes.erase(std::unique(processes.begin(), processes.end()),
                  processes.end());
  return processes;
}

// A process that has started again may have lost its log since it was chosen.
bool PrimarySupervisor::MayHaveRestarted() const {
  const EndpointState* endpoint = Find(chosen_);
  return endpoint == nullptr ||
         chosen_started_ms_ != endpoint->record.started_ms;
}

// A replica that comes back while there is no primary has the log that it had,
// or none: there is no endpoint that it could receive commits from.
std::optional<ReplicaLog> PrimarySupervisor::FindEndedLog(
    const CommitHolders::Holder& holder, std::span<const ReplicaLog> logs,
    TimePoint now) const {
  ReplicaLog log;
  log.endpoint = holder.process.endpoint;
  log.end = holder.last_acknowledged;
  const EndpointState* endpoint = Find(holder.process.endpoint);
  if (endpoint != nullptr && ProcessOf(*endpoint) == holder.process) {
    // Its log is among those of the endpoints, or it has left as planned.
    return std::nullopt;
  }
  if (log.end || endpoint == nullptr) return log;
  const auto successor =
      std::find_if(logs.begin(), logs.end(), [&](const ReplicaLog& other) {
        return other.endpoint == holder.process.endpoint;
      });
  if (successor == logs.end()) return log;
  // The new process counts as a log that is not known.
  if (!successor->reached) return std::nullopt;
  const bool has_received_nothing_since =
      holder.restarted_after_withdrawal ||
      (holder.restarted_at != TimePoint::max() &&
       now - holder.restarted_at >= kReplicaReturnTime);
  if (successor->reached->index > 0 && has_received_nothing_since) {
    return std::nullopt;
  }
  return log;
}

std::vector<ReplicaLog> PrimarySupervisor::CollectReplicaLogs(TimePoint now) {
  std::vector<ReplicaLog> logs;
  for (const auto& [name, endpoint] : context_.endpoints) {
    if (endpoint.record.service != service_ || name == primary_) continue;
    ReplicaLog log;
    log.endpoint = name;
    log.is_candidate = IsCandidate(endpoint, now);
    if (!log.is_candidate && !MayHoldLog(endpoint, now)) continue;
    const EndpointProbe& probe = ProbeOf(endpoint);
    if (const auto& position = probe.position();
        position && position->as_of >= state_entered_at_) {
      log.reached = EndOfLog(position->value);
    }
    if (const auto* status = probe.StatusSince(state_entered_at_)) {
      log.end = EndOfLog(status->received);
      log.reached = std::max(log.reached.value_or(*log.end), *log.end);
    } else if (const auto* holder = holders_.Find(ProcessOf(endpoint));
               sync_replicas_ > 0U && holder != nullptr) {
      log.end = holder->last_acknowledged;
    }
    if (sync_replicas_ > 0U &&
        !Contains(log.reached.value_or(LogPosition{}), holders_.base())) {
      log.is_candidate = false;
    }
    logs.push_back(std::move(log));
  }
  if (sync_replicas_ == 0U) return logs;
  std::vector<ReplicaLog> ended;
  for (const CommitHolders::Holder& holder : holders_.holders()) {
    if (holder.process.endpoint == primary_ ||
        holder.ended_at == TimePoint::max()) {
      continue;
    }
    if (const auto log = FindEndedLog(holder, logs, now)) {
      ended.insert(ended.end(), holder.IsUnknown() ? *sync_replicas_ : 1, *log);
    }
  }
  logs.insert(logs.end(), ended.begin(), ended.end());
  return logs;
}

// A commit that is acknowledged after the order needs a lease, and that needs
// another record.
std::optional<LogPosition> PrimarySupervisor::EndOfOrderedLog() const {
  return HasOrder() ? current_record()->base : std::nullopt;
}

// If the order took effect, and the endpoint was lost before a leader noticed,
// the old primary may be the only one that has all acknowledged commits.
std::optional<ReplicaLog> PrimarySupervisor::FindReplacedLog(
    TimePoint now) const {
  const std::optional<LogPosition> needed = EndOfOrderedLog();
  const EndpointState* endpoint = Find(primary_);
  const auto probe = probes_.find(primary_);
  if (!needed || endpoint == nullptr || probe == probes_.end() ||
      !IsCandidate(*endpoint, now)) {
    return std::nullopt;
  }
  const ReplicationStatus* status =
      probe->second->StatusSince(state_entered_at_);
  if (status == nullptr || !Contains(EndOfLog(status->received), *needed)) {
    return std::nullopt;
  }
  return ReplicaLog{primary_, status->received, status->received, true};
}

// The endpoint was the primary when no lease was valid any more, so its log has
// all acknowledged commits.
std::optional<LogPosition> PrimarySupervisor::EndOfPrimaryLog(
    const EndpointProbe& probe) const {
  const ReplicationStatus* status = probe.StatusSince(state_entered_at_);
  if (status == nullptr || !status->is_primary || status->term < term_) {
    return std::nullopt;
  }
  return status->received;
}

// An order in the record may have been sent, and may still take effect. So the
// old primary does not go on.
bool PrimarySupervisor::HasOrder() const {
  const PrimaryRecord* record = current_record();
  return record != nullptr && record->phase == PrimaryPhase::kPromoting;
}

// A primary that was only silent may go on when it answers again, so it is not
// ordered to step down before a replica can replace it.
bool PrimarySupervisor::MustStepDown(TimePoint now) const {
  const EndpointState* endpoint = Find(primary_);
  const bool leaves =
      endpoint != nullptr && endpoint->leaving_since != TimePoint::max();
  return leaves || MostVmsReportFailure(now) ||
         ReportsReplicaRole(primary_, now);
}

// Chooses a replica that holds all acknowledged commits, or else, if commits
// are acknowledged without replicas, the one with the longest log. Orders the
// old primary, if it can be reached, to step down, so that its log does not
// grow beyond what a replica receives.
void PrimarySupervisor::ChooseReplica(TimePoint now) {
  QueryAll(now);
  if (!sync_replicas_) {
    HoldPromotion({}, std::nullopt, now);
    return;
  }
  const Duration elapsed = now - state_entered_at_;
  std::vector<ReplicaLog> logs = CollectReplicaLogs(now);
  const EndpointState* old = Find(primary_);
  EndpointProbe* old_probe = old == nullptr ? nullptr : &ProbeOf(*old);
  const std::optional<LogPosition> ordered_end = EndOfOrderedLog();
  std::optional<LogPosition> log_end =
      ordered_end ? ordered_end : handover_position_;
  if (!log_end && HasOrder() && old_probe != nullptr) {
    log_end = EndOfPrimaryLog(*old_probe);
  }
  ReplicaSelection selection = SelectReplica(logs, *sync_replicas_, log_end);
  if (!selection.is_complete && elapsed >= kHandoverTimeout) {
    if (const auto replaced = FindReplacedLog(now)) {
      logs.push_back(*replaced);
      selection = SelectReplica(logs, *sync_replicas_, log_end);
    }
  }
  // Commits that no caller was told of may be missing.
  if (held_ && !selection.is_complete && selection.best != nullptr) {
    selection = SelectReplica(logs, *sync_replicas_,
                              context_.acknowledgements.AcknowledgedUpTo(
                                  service_, *selection.best->reached));
  }
  if (old_probe != nullptr && selection.best != nullptr) {
    const bool is_chosen = selection.best->endpoint == primary_;
    if ((selection.is_complete && !is_chosen) || MustStepDown(now)) {
      old_probe->StepDown(term_ + 1, now);
    } else {
      old_probe->WithdrawStepDown();
    }
    // A log that is shorter than that of a replica was lost in a restart.
    if (old_probe->stepped_down() && !handover_position_ &&
        Contains(old_probe->LastStatus()->received, *selection.best->reached)) {
      handover_position_ = old_probe->LastStatus()->received;
    }
  }
  if (!selection.is_complete) {
    if (*sync_replicas_ > 0) {
      if (elapsed >= kReplicaAnswerTimeout) {
        HoldPromotion(selection, log_end, now);
      }
    } else if (elapsed > kHandoverTimeout) {
      Enter(State::kSearching, "no_candidate", elapsed, now);
    }
    return;
  }
  const bool waits_for_replica =
      *sync_replicas_ == 0 && elapsed < kReplicaAnswerTimeout &&
      std::any_of(logs.begin(), logs.end(), [](const ReplicaLog& log) {
        return log.is_candidate && !log.end;
      });
  const bool waits_for_log =
      handover_position_ && *selection.best->reached < *handover_position_;
  // An old primary that has not answered for a long time is not waited for.
  const bool waits_for_old =
      old_probe != nullptr && !handover_position_ &&
      now - LastAliveAt() < kDeadAfter + kReplicaAnswerTimeout &&
      elapsed < kReplicaAnswerTimeout;
  if (waits_for_replica ||
      ((waits_for_log || waits_for_old) && elapsed < kHandoverTimeout)) {
    return;
  }
  chosen_ = selection.best->endpoint;
  chosen_started_ms_ = Find(chosen_)->record.started_ms;
  // Commits beyond the end of the ordered log were not acknowledged.
  chosen_reached_ = std::min(*selection.best->reached,
                             ordered_end.value_or(*selection.best->reached));
  chosen_at_ = now;
  Enter(State::kPromoting, "longest_log", elapsed, now);
}

void PrimarySupervisor::HoldPromotion(const ReplicaSelection& selection,
                                      std::optional<LogPosition> log_end,
                                      TimePoint now) {
  for (const auto& [name, probe] : probes_) {
    const ReplicationStatus* status = probe->StatusSince(state_entered_at_);
    if (status == nullptr || !status->is_primary) continue;
    const bool serves = name == primary_
                            ? status->term >= term_ && !IsLeaving() &&
                                  !HasOrder() && !MostVmsReportFailure(now)
                            : status->term > term_;
    if (serves) {
      Enter(State::kSearching, "answers_again", now - probe->status_as_of(),
            now);
      return;
    }
  }
  if (!std::exchange(held_, true)) {
    const ReplicaLog* unmatched = selection.unmatched;
    context_.observer.OnPrimaryStateChanged(
        service_, "held", unmatched == nullptr ? primary_ : unmatched->endpoint,
        term_, unmatched == nullptr ? "nothing_known" : "may_hold_commits",
        now - state_entered_at_);
  }
  ReportHold(selection, log_end, now);
}

void PrimarySupervisor::ReportHold(const ReplicaSelection& selection,
                                   std::optional<LogPosition> log_end,
                                   TimePoint now) {
  if (reported_hold_ && now - hold_reported_at_ < kHoldReportInterval) return;
  PromotionHold hold;
  hold.service = service_;
  if (selection.best != nullptr) {
    hold.candidate = selection.best->endpoint;
    hold.reached = *selection.best->reached;
  }
  hold.base = holders_.base();
  hold.log_end = log_end;
  if (selection.unmatched != nullptr) {
    hold.unmatched = selection.unmatched->endpoint;
  }
  if (reported_hold_ == hold) return;
  context_.observer.OnPromotionHeld(hold);
  reported_hold_ = std::move(hold);
  hold_reported_at_ = now;
}

void PrimarySupervisor::WriteRecord(PrimaryRecord record, TimePoint now) {
  if (sync_replicas_ > 0U) {
    record.replicas = ReplicasToRecord(record.phase, now);
    record.base = holders_.base();
    if (record.phase == PrimaryPhase::kPromoting) {
      record.base = chosen_reached_;
      record.chosen_started_ms = chosen_started_ms_;
    }
  }
  const PrimaryRecord* present = current_record();
  if (record.phase == PrimaryPhase::kServing && present != nullptr &&
      present->phase == record.phase && present->primary == record.primary &&
      present->term == record.term && present->replicas == record.replicas &&
      present->base == record.base) {
    record_written_ = true;
    return;
  }
  record.writes = ++record_writes_;
  pending_record_ = record;
  const std::uint64_t attempt = ++attempt_;
  // A lost answer is not waited for: the next write is conditional on the same
  // version, so that only one of the two takes effect.
  retry_at_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  context_.store.Put(
      std::string(kPrimaryPrefix) + service_, FormatRecord(record),
      record_version_,
      [alive = std::weak_ptr(alive_), record,
       attempt](const StoreReply& reply) {
        const auto self = alive.lock();
        if (self == nullptr) return;
        PrimarySupervisor& supervisor = **self;
        const bool written = reply.status == StoreStatus::kOk;
        if (written) {
          supervisor.OnRecord(record, reply.object.version);
        } else if (reply.status == StoreStatus::kConflict) {
          supervisor.OnConflict(reply.object);
        } else if (reply.status == StoreStatus::kNotFound &&
                   EraOf(supervisor.record_version_) < reply.era) {
          supervisor.OnRecordRemoved();
        }
        if (attempt != supervisor.attempt_ || !supervisor.pending_record_) {
          return;
        }
        supervisor.pending_record_.reset();
        supervisor.retry_delay_ = kRetryInterval;
        supervisor.next_tick_ = {};
        if (written) supervisor.OnRecordWritten();
      });
}

// The time at which the write was done is not known if its answer was lost;
// that its effect was seen now is the latest possible time.
void PrimarySupervisor::OnRecordWritten() {
  pending_record_.reset();
  next_tick_ = {};
  retry_at_ = {};
  record_written_ = true;
  record_written_at_ = context_.clock();
}

void PrimarySupervisor::OnConflict(const StoredObject& object) {
  try {
    OnRecord(ParsePrimaryRecord(object.value), object.version);
  } catch (const DecodeError&) {
    // The object watcher delivers the same object to FailoverManager, which
    // reports that it is malformed.
  }
}

// The record is written first, so that a successor completes the order. Writing
// the fencing token then shows that this VM is still the leader right before
// the order is sent.
void PrimarySupervisor::Promote(TimePoint now) {
  if (now < retry_at_ || !context_.election.MayPromote(now)) return;
  if (sync_replicas_ != 0U && MayHaveRestarted()) {
    Enter(State::kChoosing, "chosen_restarted", Duration{0}, now);
    return;
  }
  if (!record_written_) {
    WriteRecord({chosen_, term_, PrimaryPhase::kPromoting, 0, era_, primary_},
                now);
    return;
  }
  retry_at_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  // The token of any write of this state serves: a slow answer to the first is
  // not discarded because a second was sent.
  context_.election.WriteFencingToken([alive = std::weak_ptr(alive_),
                                       entry = state_entries_,
                                       requested_at = now](
                                          std::optional<ObjectVersion> token) {
    const auto self = alive.lock();
    if (self == nullptr || entry != (*self)->state_entries_) return;
    PrimarySupervisor& supervisor = **self;
    const TimePoint sent = supervisor.context_.clock();
    // A leader whose process was paused meanwhile may have a successor.
    if (!token || sent - requested_at > LeaderElection::kPrimaryLeaseDuration ||
        !supervisor.context_.election.IsLeader(sent)) {
      supervisor.retry_delay_ = kRetryInterval;
      return;
    }
    // Does not wait for the answer, which may be lost or late: kConfirming
    // watches for the effect.
    supervisor.Enter(State::kConfirming, "ordered", Duration{0}, sent);
    supervisor.context_.promotions.Promote(
        supervisor.service_, supervisor.chosen_, supervisor.context_.self,
        *token, [alive, order = supervisor.attempt_](PromotionResult result) {
          const auto same = alive.lock();
          if (same != nullptr) (*same)->OnPromoted(result, order);
        });
  });
}

void PrimarySupervisor::OnPromoted(PromotionResult result,
                                   std::uint64_t order) {
  if (order != attempt_ || state_ != State::kConfirming) return;
  const TimePoint now = context_.clock();
  if (result == PromotionResult::kRefused) {
    excluded_until_[chosen_] = now + kRefusalExclusionTime;
    Enter(State::kChoosing, "order_refused", Duration{0}, now);
  } else if (result == PromotionResult::kUnavailable) {
    Enter(State::kPromoting, "order_not_taken", Duration{0}, now);
    // The record of the order is still valid.
    record_written_ = true;
    retry_at_ = now + kRetryInterval;
  }
}

void PrimarySupervisor::ConfirmPromotion(TimePoint now) {
  QueryAll(now);
  const auto found = probes_.find(chosen_);
  const ReplicationStatus* status =
      found == probes_.end() ? nullptr : found->second->StatusSince(chosen_at_);
  // Without a higher term, it has led in an earlier one and has not noticed
  // that it was replaced.
  if (status != nullptr && status->is_primary && status->term > term_) {
    reports_.clear();
    last_promotion_time_ = now - state_entered_at_;
    Serve(*found->second, "promoted", now);
    return;
  }
  if (now - state_entered_at_ < kPromotionTimeout) return;
  const Duration elapsed = now - state_entered_at_;
  if (chosen_ == primary_) {
    // The order that was to replace it has not taken effect: it is still the
    // primary for the platform, and cannot be promoted.
    excluded_until_[chosen_] = now + kReplicaReturnTime;
    Enter(State::kChoosing, "no_effect", elapsed, now);
    return;
  }
  Enter(State::kPromoting, "no_effect", elapsed, now);
}

}  // namespace carawayhaven
