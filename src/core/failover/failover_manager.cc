#include "core/failover/failover_manager.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// A quarter of the primary lease duration, so that three replies may be lost.
constexpr Duration kLeaseRequestInterval = milliseconds(250);
// As kLeaseRequestInterval, while a primary is expected at any moment.
constexpr Duration kMinLeaseRequestInterval = milliseconds(100);
constexpr Duration kTickInterval = milliseconds(50);
// Once the leader's reply to one request is missing, some peers are asked as
// well. Their answers tell how long ago they saw the leader, so that a link
// that is slow or lost does not end its leadership.
constexpr Duration kOverdueLeaseReply =
    kLeaseRequestInterval + 2 * kTickInterval;
constexpr std::size_t kPeersAskedForLeader = 2;
// The leader counts as failed when nothing has shown for this long that it is
// alive. Each further candidate waits for one more stagger, so that only one of
// them tries to take over at a time.
constexpr Duration kLeaderTimeout = milliseconds(600);
constexpr Duration kCandidateStagger = milliseconds(200);
// When peers have not shown for this long that the leader is alive, the records
// are read from the store, often enough that no lease expires between two
// answers.
constexpr Duration kStoreReadDelay = milliseconds(400);
constexpr Duration kStoreReadInterval = milliseconds(350);
// The same, when the leader is seen but does not renew its lease in the store.
constexpr Duration kOverdueRenewal =
    LeaderElection::kRenewInterval + milliseconds(600);
constexpr Duration kUnrenewedReadInterval = milliseconds(1000);
// Wait before a VM that no peer answers tries to take over.
constexpr Duration kIsolatedTakeOverDelay = std::chrono::seconds(4);
// A VM that lost leadership waits before it tries to take over, so that
// leadership does not flap between the two sides of a partition.
constexpr Duration kTakeOverPause = std::chrono::seconds(4);
constexpr Duration kTakeOverRetry = milliseconds(300);
// A leader whose writes the store has not confirmed for this long steps down
// when the store answers other VMs: a renewal and its retries have failed.
constexpr Duration kLeaderStoreTimeout = std::chrono::seconds(3);
// An answer of the store to a peer counts as proof that the store is up when it
// came this long after the leader's first failed write was sent. Longer than a
// call takes whose answer was lost just before the store went down.
constexpr Duration kMinPeerAnswerDelay = milliseconds(1500);
// Time in which the VMs other than the leader write their entries again after
// the store was restored.
constexpr Duration kRegistrationSpread = milliseconds(500);
// As kRegistrationSpread, for VMs that cannot become the leader.
constexpr Duration kIdleRegistrationSpread = std::chrono::seconds(4);
constexpr Duration kRegistrationRetry = milliseconds(200);
// An older failure to reach an endpoint is not reported: a VM without a primary
// lease does not try again. Longer than the pause between two attempts to open
// a connection and the time until an attempt fails.
constexpr Duration kMaxFailureAge = milliseconds(2500);
// How often VMs that have not answered are asked again which commits they have
// reported to callers.
constexpr Duration kSurveyInterval = milliseconds(500);
// A VM that leaves has ended by then. Longer than the platform lets a process
// run after its signal to stop.
constexpr Duration kLongestDrain = std::chrono::seconds(60);
// Replies to older lease requests are ignored.
constexpr Duration kRequestLifetime = std::chrono::seconds(2);
// The ids of lease requests start at the process number, shifted by this, so
// that a late reply to an earlier process of the VM matches none of them.
constexpr int kCorrelationBits = 64 - kRevisionBits - 13;

}  // namespace

FailoverManager::FailoverManager(const Dependencies& deps, VmName self,
                                 VmEntry entry, ObjectVersion own_version)
    : deps_(deps),
      self_(std::move(self)),
      entry_(std::move(entry)),
      store_(deps.store,
             [this](std::uint64_t era) { OnEra(era, deps_.clock()); }),
      election_(store_, self_, deps.clock),
      watcher_(store_, std::string(kProxyObjectPrefix), deps.clock, deps.random,
               *this),
      own_version_(own_version),
      next_correlation_((own_version << kCorrelationBits) + 1),
      started_at_(deps.clock()),
      leader_seen_at_(deps.clock()),
      alive_(std::make_shared<FailoverManager*>(this)) {
  election_.OnEra(EraOf(own_version), deps.clock());
  election_.SetIncarnation(own_version);
}

PrimarySupervisor& FailoverManager::SupervisorOf(const ServiceName& service) {
  std::unique_ptr<PrimarySupervisor>& supervisor = supervisors_[service];
  if (supervisor == nullptr) {
    supervisor = std::make_unique<PrimarySupervisor>(
        PrimarySupervisorContext{
            deps_.link, store_, deps_.promotions, election_, deps_.observer,
            deps_.router.endpoints(), deps_.router.leases(), *this, self_,
            deps_.clock},
        service);
  }
  return *supervisor;
}

void FailoverManager::SetRoutes(const RouteTable& routes) {
  config_version_ = routes.version;
  for (const auto& [name, limits] : routes.services) {
    SupervisorOf(name).SetSyncReplicas(limits.sync_replicas);
  }
}

void FailoverManager::OnObject(const StoredObject& object, TimePoint now) {
  const std::string_view path = object.path;
  try {
    if (path == kLeaderObjectPath) {
      // Gives a new leader time to reach all VMs.
      if (object.version > election_.version()) {
        leader_seen_at_ = std::max(leader_seen_at_, now);
      }
      election_.OnRecord(ParseLeaderRecord(object.value), object.version, now);
      // A restored record may name an earlier leader than the last one.
      if (election_.IsRecordCurrent() || leader_.empty()) {
        SetLeader(
            election_.record().resigned ? VmName() : election_.record().leader,
            now);
      }
    } else if (path.starts_with(kPrimaryPrefix)) {
      SupervisorOf(ServiceName(path.substr(kPrimaryPrefix.size())))
          .OnRecord(ParsePrimaryRecord(object.value), object.version);
    } else if (path.starts_with(kVmPrefix)) {
      const VmName vm(path.substr(kVmPrefix.size()));
      if (vm.empty()) throw DecodeError(error_messages::kMalformedProxyObject);
      const VmEntry entry = ParseVmEntry(object.value);
      vm_versions_[vm] = object.version;
      if (vm != self_) vms_[vm] = entry;
      if (entry.leaving) {
        vms_leaving_since_.try_emplace(vm, now);
      } else {
        vms_leaving_since_.erase(vm);
      }
    }
  } catch (const DecodeError& error) {
    deps_.observer.OnMalformedObject(object.path, error.what());
    if (path == kLeaderObjectPath) {
      election_.OnUnreadableRecord(object.version, now);
      SetLeader(VmName(), now);
    } else if (path.starts_with(kPrimaryPrefix)) {
      // A new leader that has not read the records yet may have missed an order
      // of its predecessor.
      const bool knows_records = was_leader_ && election_.IsLeader(now) &&
                                 records_read_at_ >= leader_since_;
      SupervisorOf(ServiceName(path.substr(kPrimaryPrefix.size())))
          .OnUnreadableRecord(object.version, knows_records);
    }
  }
}

void FailoverManager::OnObjectRemoved(std::string_view path, TimePoint now) {
  if (path == kLeaderObjectPath) {
    election_.OnRecordRemoved(now);
  } else if (path.starts_with(kPrimaryPrefix)) {
    SupervisorOf(ServiceName(path.substr(kPrimaryPrefix.size())))
        .OnRecordRemoved();
  } else if (path.starts_with(kVmPrefix)) {
    vms_.erase(VmName(path.substr(kVmPrefix.size())));
  }
}

void FailoverManager::OnObjectsSynced(TimePoint sent, TimePoint now) {
  std::vector<ListedVm> listed;
  for (const auto& [vm, entry] : vms_) {
    listed.push_back({vm, entry.data_centre, entry.address, entry.leaving,
                      entry.capacity.value_or(0)});
  }
  deps_.membership.OnVmList(listed, now);
  RecordStoreAnswer(now);
  GrantRecordedLeases(sent, now);
}

// Before the leader replaces a primary, it withdraws the record and waits for
// the duration of a lease. A record that was read therefore is a lease that
// starts when the read was sent.
void FailoverManager::GrantRecordedLeases(TimePoint sent, TimePoint now) {
  const TimePoint expires = sent + LeaderElection::kPrimaryLeaseDuration;
  if (expires <= now) return;
  for (const auto& [service, supervisor] : supervisors_) {
    // A record of an earlier era may miss a promotion.
    const PrimaryRecord* record = supervisor->current_record();
    if (record == nullptr || record->phase != PrimaryPhase::kServing) continue;
    deps_.router.GrantLease(service, {record->primary, record->term, expires},
                            now);
  }
}

// Needed on a VM that reaches the store but no peer with leases, and on a new
// leader, which must know what its predecessor recorded. A VM that misses
// renewals of the leader lease finds out for the leader whether the store
// answers other VMs.
void FailoverManager::ReadRecordsFromStore(TimePoint now) {
  const bool unseen = now - leader_seen_at_ >= kStoreReadDelay;
  const bool unrenewed = watches_store_for_peers_ &&
                         now - election_.record_learned_at() >= kOverdueRenewal;
  const bool surveys =
      survey_.is_active() && records_read_at_ < survey_.begun_at();
  const bool needed = election_.IsLeader(now)
                          ? records_read_at_ < leader_since_ || surveys
                          : unseen || unrenewed;
  if (!needed || store_read_in_flight_ || now < next_store_read_) return;
  store_read_in_flight_ = true;
  next_store_read_ =
      now + (unseen ? kStoreReadInterval : kUnrenewedReadInterval);
  store_.Watch(
      kProxyObjectPrefix, 0,
      [alive = std::weak_ptr(alive_), sent = now](const StoreReply& reply) {
        const auto self = alive.lock();
        if (self == nullptr) return;
        FailoverManager& manager = **self;
        manager.store_read_in_flight_ = false;
        if (reply.status != StoreStatus::kOk) return;
        const TimePoint answered = manager.deps_.clock();
        manager.RecordStoreAnswer(answered);
        for (const StoredObject& object : reply.objects) {
          manager.OnObject(object, answered);
        }
        manager.records_read_at_ = std::max(manager.records_read_at_, sent);
        manager.GrantRecordedLeases(sent, answered);
      });
}

// The store is not down for all VMs when it answered a peer after this leader's
// writes began to fail, and a write that was sent after that answer failed too.
bool FailoverManager::IsStoreLostOnlyHere(TimePoint now) const {
  if (!election_.IsLeader(now) ||
      election_.failing_since() == TimePoint::max()) {
    return false;
  }
  return now - election_.renewed_at() > kLeaderStoreTimeout &&
         peer_store_answered_at_ > election_.failing_since() &&
         election_.last_write_failure_at() > peer_store_answered_at_;
}

// Keeps the first answer and not the last one: a write takes a second to fail,
// and peers get answers more often than that.
void FailoverManager::OnStoreAnsweredPeer(TimePoint answered) {
  const TimePoint failing_since = election_.failing_since();
  if (failing_since == TimePoint::max() ||
      peer_store_answered_at_ > failing_since) {
    return;
  }
  if (answered > failing_since + kMinPeerAnswerDelay) {
    peer_store_answered_at_ = answered;
  }
}

// Called when another VM took leadership over from this one, or should do so.
// The new version of the entry shows that this process grants no leases any
// more under its old number. Until the entry is written, the process takes no
// part in the election.
void FailoverManager::StepDown() {
  if (step_down_pending_) return;
  election_.SetIncarnation(0);
  ++entry_.leadership_losses;
  WriteEntry();
}

void FailoverManager::WriteEntry() {
  step_down_pending_ = true;
  store_.Put(std::string(kVmPrefix) + self_, FormatRecord(entry_), own_version_,
             [alive = std::weak_ptr(alive_)](const StoreReply& reply) {
               const auto self = alive.lock();
               if (self == nullptr) return;
               FailoverManager& manager = **self;
               manager.step_down_pending_ = false;
               manager.next_tick_ = {};
               const bool known = reply.status == StoreStatus::kOk ||
                                  reply.status == StoreStatus::kConflict;
               if (known) manager.own_version_ = reply.object.version;
               if (reply.status == StoreStatus::kNotFound) {
                 manager.own_version_ = 0;
               }
               const bool written =
                   reply.status == StoreStatus::kOk &&
                   EraOf(reply.object.version) == manager.election_.era();
               if (written) {
                 manager.must_register_ = false;
                 manager.election_.SetIncarnation(reply.object.version);
               } else if (!manager.must_register_) {
                 manager.retry_step_down_ = true;
               } else if (known || reply.status == StoreStatus::kNotFound) {
                 manager.next_registration_ = {};
               }
             });
}

void FailoverManager::RegisterAgain(TimePoint now) {
  if (!must_register_ || step_down_pending_ || now < next_registration_) return;
  next_registration_ = now + kRegistrationRetry;
  const auto listed = vm_versions_.find(self_);
  if (listed != vm_versions_.end() &&
      EraOf(listed->second) == election_.era()) {
    own_version_ = std::max(own_version_, listed->second);
  }
  WriteEntry();
}

// The entry in the copy may be missing, or be older than this process. Its new
// version is a number that no earlier record names: a leader record in the copy
// that names this VM does not make it the leader.
void FailoverManager::OnEra(std::uint64_t era, TimePoint now) {
  const bool led = election_.IsLeader(now);
  if (!election_.OnEra(era, now)) return;
  reclaims_leadership_ = led && !leaving_;
  must_register_ = true;
  retry_step_down_ = false;
  // Gives the leader time to write the leader object again.
  leader_seen_at_ = std::max(leader_seen_at_, now);
  was_leader_ = false;
  next_take_over_ = now;
  next_registration_ = now;
  if (!led) {
    // The VMs learn of the era at the same time, and the store's rate of writes
    // is limited.
    std::uniform_int_distribution<Duration::rep> spread(
        0, (active_ ? kRegistrationSpread : kIdleRegistrationSpread).count());
    next_registration_ += Duration(spread(deps_.random));
  }
  next_tick_ = {};
}

void FailoverManager::OnStoreReachabilityChanged(bool reachable,
                                                 TimePoint /*now*/) {
  deps_.observer.OnStoreReachable(kProxyObjectPrefix, reachable);
}

void FailoverManager::SetLeader(const VmName& leader, TimePoint now) {
  if (std::exchange(leader_, leader) == leader) return;
  deps_.observer.OnLeaderChanged(leader, election_.IsLeader(now));
}

// The refusal of this VM's own write may show a record that the object watcher
// has not delivered yet. Gives a new leader time to reach all VMs.
void FailoverManager::NoteRecordedLeader(TimePoint now) {
  const LeaderRecord& record = election_.record();
  if (record.leader.empty() || record.resigned ||
      election_.record_learned_at() <= leader_seen_at_) {
    return;
  }
  leader_seen_at_ = election_.record_learned_at();
  SetLeader(record.leader, now);
}

// Candidates try in the order of their rank: each waits until those before it
// had time to take over.
void FailoverManager::TakeOverIfDue(TimePoint now) {
  if (!watcher_.listed() || leaving_ || must_register_ ||
      election_.IsLeader(now) || now < next_take_over_) {
    return;
  }
  const bool current = election_.IsRecordCurrent();
  if (current) {
    reclaims_leadership_ = false;
    NoteRecordedLeader(now);
  }
  if (reclaims_leadership_) {
    next_take_over_ = now + kTakeOverRetry;
    election_.TryAcquireLeadership();
    return;
  }
  int rank = 0;
  for (const VmName& vm : candidates_.empty()
                              ? deps_.membership.table().OwnerCandidates()
                              : candidates_) {
    if (vm == self_) break;
    if (vm != election_.record().leader) ++rank;
  }
  // Without a record of this era, the last leader may still be running.
  const bool vacant =
      (current || election_.era() == 0) &&
      (election_.record().leader.empty() || election_.record().resigned);
  // A VM that no peer answers leaves leadership to VMs that reach each other.
  const bool isolated = now - peer_answered_at_ > kLeaderTimeout &&
                        !deps_.membership.table().members().empty();
  const Duration delay = isolated ? kIsolatedTakeOverDelay
                         : vacant ? Duration{0}
                                  : kLeaderTimeout;
  if (now - leader_seen_at_ < delay + rank * kCandidateStagger) return;
  next_take_over_ = now + kTakeOverRetry;
  election_.TryAcquireLeadership();
}

// A newer version of a predecessor's entry shows that the process which was the
// leader grants no leases any more. The version of a restored entry is that of
// a later era than the number of the process, although the entry is older.
void FailoverManager::DetectStoppedPredecessors(TimePoint now) {
  for (const auto& [predecessor, lease_end] : election_.active_predecessors()) {
    const auto version = vm_versions_.find(predecessor.leader);
    if (version != vm_versions_.end() &&
        EraOf(version->second) == EraOf(predecessor.incarnation) &&
        version->second > predecessor.incarnation) {
      election_.OnLeaderStopped(predecessor, now);
    }
  }
}

// VMs that do not watch the store would not learn that their entries may be
// missing in it.
void FailoverManager::AnnounceEra() {
  LeaseReplyMessage message;
  message.leader = self_;
  message.leader_record_version = election_.version();
  const std::vector<VmName> peers = deps_.membership.Peers();
  for (const VmName& vm : peers) deps_.peers.Send(vm, message);
}

void FailoverManager::GrantOwnLeases(TimePoint now) {
  if (!election_.IsLeader(now)) return;
  leader_seen_at_ = now;
  for (const auto& [service, supervisor] : supervisors_) {
    if (const auto lease = supervisor->GrantableLease(now)) {
      ApplyLease(*lease, now, now);
    } else if (const auto absence = supervisor->FindAbsence(now)) {
      ApplyAbsence(*absence, now);
    }
  }
}

void FailoverManager::ApplyLease(const LeaseGrant& lease, TimePoint from,
                                 TimePoint now) {
  const TimePoint expires = from + lease.time_left;
  if (expires <= now) return;
  deps_.router.GrantLease(lease.service, {lease.endpoint, lease.term, expires},
                          now);
  if (lease.position.term > 0) {
    deps_.router.AddPosition(lease.service, from - lease.position_age,
                             lease.position);
  }
}

void FailoverManager::ApplyAbsence(const PrimaryAbsence& absence,
                                   TimePoint now) {
  std::optional<TimePoint> ready_at;
  if (absence.ready_in) ready_at = now + *absence.ready_in;
  deps_.router.ExpectPrimary(absence.service, ready_at, now);
}

std::vector<PrimaryReport> FailoverManager::BuildReports(TimePoint now) const {
  std::vector<PrimaryReport> reports;
  for (const auto& [service, lease] : deps_.router.leases().all()) {
    const auto found = deps_.router.endpoints().find(lease.endpoint);
    if (found == deps_.router.endpoints().end()) continue;
    const EndpointState& endpoint = found->second;
    PrimaryReport report;
    report.service = service;
    report.endpoint = lease.endpoint;
    report.answer_age =
        std::min<Duration>(now - endpoint.last_answer, std::chrono::hours(1));
    report.failing = endpoint.failing_since != TimePoint::max() &&
                     now - endpoint.last_failure <= kMaxFailureAge;
    reports.push_back(std::move(report));
  }
  return reports;
}

void FailoverManager::RequestLeases(TimePoint now) {
  if (now < next_lease_request_) return;
  next_lease_request_ = now + kLeaseRequestInterval;
  std::erase_if(requests_, [now](const auto& entry) {
    return now - entry.second.sent > kRequestLifetime;
  });
  LeaseRequestMessage request;
  request.config_version = config_version_;
  request.leader_record_version = election_.version();
  request.store_age = now - store_answered_at_;
  request.reports = BuildReports(now);
  const auto send_request = [&](const VmName& vm) {
    request.correlation = next_correlation_++;
    if (deps_.peers.Send(vm, request)) {
      requests_[request.correlation] = {vm, now};
    }
  };
  if (election_.IsLeader(now)) {
    // A predecessor that still runs can reply that it is not the leader.
    for (const auto& [predecessor, lease_end] :
         election_.active_predecessors()) {
      if (now < lease_end) send_request(predecessor.leader);
    }
    return;
  }
  if (!leader_.empty() && leader_ != self_) send_request(leader_);
  // A peer relays its own leases when the leader itself cannot be reached.
  if (now - leader_seen_at_ <= kOverdueLeaseReply) return;
  // Only the VMs that run sessions see the leader.
  std::vector<VmName> peers =
      candidates_.empty() ? deps_.membership.Peers() : candidates_;
  std::erase_if(
      peers, [this](const VmName& vm) { return vm == leader_ || vm == self_; });
  std::vector<VmName> asked;
  std::sample(peers.begin(), peers.end(), std::back_inserter(asked),
              kPeersAskedForLeader, deps_.random);
  for (const VmName& vm : asked) send_request(vm);
}

void FailoverManager::SurveyAcknowledgements(TimePoint now) {
  std::set<ServiceName> held;
  if (election_.IsLeader(now)) {
    for (const auto& [service, supervisor] : supervisors_) {
      if (supervisor->IsHeld()) held.insert(service);
    }
  }
  survey_.SetServices(held, now);
  if (held.empty() || now < next_survey_) return;
  next_survey_ = now + kSurveyInterval;
  LeaseRequestMessage request;
  request.config_version = config_version_;
  request.leader_record_version = election_.version();
  request.acknowledged_of = survey_.services();
  survey_.RecordAnswer(self_, now, started_at_,
                       AcknowledgedPositions(request.acknowledged_of, now));
  for (const VmName& vm : ReportingVms(now)) {
    if (!survey_.NeedsAnswer(vm)) continue;
    request.correlation = next_correlation_++;
    if (deps_.peers.Send(vm, request)) {
      requests_[request.correlation] = {vm, now};
    }
  }
}

// A VM writes its entry before it runs sessions, and entries stay when their
// VMs are lost.
std::vector<VmName> FailoverManager::ReportingVms(TimePoint since) const {
  std::set<VmName> vms{self_};
  for (const auto& [vm, entry] : vms_) vms.insert(vm);
  for (const VmName& vm : deps_.membership.Peers()) vms.insert(vm);
  std::erase_if(vms, [&](const VmName& vm) {
    const auto leaving = vms_leaving_since_.find(vm);
    return leaving != vms_leaving_since_.end() &&
           leaving->second + kLongestDrain < since;
  });
  return {vms.begin(), vms.end()};
}

// A service whose lease is valid is left out: its callers may still be told of
// commits.
std::vector<AcknowledgedPosition> FailoverManager::AcknowledgedPositions(
    std::span<const ServiceName> services, TimePoint now) const {
  std::vector<AcknowledgedPosition> positions;
  for (const ServiceName& service : services) {
    if (deps_.router.leases().FindValid(service, now) != nullptr) continue;
    positions.push_back({service, deps_.router.AcknowledgedPosition(service)});
  }
  return positions;
}

// What callers were told before the primary stated a position is in every log
// that reaches it. What they were told since is known from the VMs.
std::optional<LogPosition> FailoverManager::AcknowledgedUpTo(
    const ServiceName& service, LogPosition end) const {
  if (!survey_.is_active() || records_read_at_ < survey_.begun_at()) {
    return std::nullopt;
  }
  const PositionHistory* history = deps_.router.FindPositionHistory(service);
  const auto sample =
      history == nullptr ? std::nullopt : history->NewestUpTo(end);
  if (!sample) return std::nullopt;
  const auto reported =
      survey_.Highest(service, ReportingVms(sample->at), sample->at);
  if (!reported || *reported > end) return std::nullopt;
  return std::max(sample->position, *reported);
}

void FailoverManager::OnLeaseRequest(const VmName& vm,
                                     const LeaseRequestMessage& request,
                                     TimePoint now) {
  LeaseReplyMessage reply;
  OnEra(EraOf(request.leader_record_version), now);
  if (request.leader_record_version > election_.version()) {
    election_.OnSuperseded(request.leader_record_version);
    // The reply below tells the successor that this process grants no leases
    // any more. It must not become the leader again when a write in flight
    // turns out to have succeeded.
    if (!election_.IsLeader(now) && election_.IsRecordOwner()) StepDown();
  }
  if (request.store_age >= Duration{0}) {
    OnStoreAnsweredPeer(now - request.store_age);
  }
  reply.correlation = request.correlation;
  reply.leader_record_version = election_.version();
  reply.config_version = config_version_;
  if (config_confirmed_at_ != TimePoint()) {
    reply.config_age = now - config_confirmed_at_;
  }
  reply.acknowledged = AcknowledgedPositions(request.acknowledged_of, now);
  reply.running_for = now - started_at_;
  reply.leader = leader_;
  reply.leader_age = now - leader_seen_at_;
  if (election_.IsLeader(now)) {
    reply.leader = self_;
    reply.leader_age = Duration{0};
    for (const PrimaryReport& report : request.reports) {
      const auto found = supervisors_.find(report.service);
      if (found != supervisors_.end()) found->second->OnReport(vm, report, now);
    }
    for (const auto& [service, supervisor] : supervisors_) {
      if (auto lease = supervisor->GrantableLease(now)) {
        reply.leases.push_back(std::move(*lease));
      } else if (auto absence = supervisor->FindAbsence(now)) {
        reply.absences.push_back(std::move(*absence));
      }
    }
  } else {
    for (const auto& [service, lease] : deps_.router.leases().all()) {
      if (lease.expires <= now) continue;
      LeaseGrant& relayed = reply.leases.emplace_back();
      relayed.service = service;
      relayed.endpoint = lease.endpoint;
      relayed.term = lease.term;
      relayed.time_left = lease.expires - now;
      const PositionHistory* history =
          deps_.router.FindPositionHistory(service);
      if (const auto newest =
              history == nullptr ? std::nullopt : history->Newest()) {
        relayed.position = newest->position;
        relayed.position_age = now - newest->at;
      }
    }
  }
  deps_.peers.Send(vm, reply);
}

// All durations count from when the request was sent, so the time until the
// reply arrived shortens a lease and never extends it.
std::optional<TimePoint> FailoverManager::OnLeaseReply(
    const VmName& vm, const LeaseReplyMessage& reply, TimePoint now) {
  OnEra(EraOf(reply.leader_record_version), now);
  const auto sent_request = requests_.find(reply.correlation);
  if (sent_request == requests_.end() || sent_request->second.vm != vm) {
    return std::nullopt;
  }
  const TimePoint sent = sent_request->second.sent;
  requests_.erase(sent_request);
  peer_answered_at_ = now;
  if (reply.running_for >= Duration{0}) {
    survey_.RecordAnswer(vm, sent, now - reply.running_for, reply.acknowledged);
  }
  if (reply.leader == vm && !election_.IsLeader(now)) SetLeader(vm, now);
  leader_seen_at_ = std::max(leader_seen_at_, sent - reply.leader_age);
  for (const auto& [predecessor, lease_end] : election_.active_predecessors()) {
    if (predecessor.leader == vm && reply.leader != vm) {
      election_.OnLeaderStopped(predecessor, now);
    }
  }
  for (const LeaseGrant& lease : reply.leases) ApplyLease(lease, sent, now);
  for (const PrimaryAbsence& absence : reply.absences) {
    ApplyAbsence(absence, now);
    if (!absence.ready_in) continue;
    // Asks again when the primary is due, if that is sooner than the next
    // request.
    next_lease_request_ = std::min(
        next_lease_request_,
        now + std::max<Duration>(*absence.ready_in, kMinLeaseRequestInterval));
  }
  return sent;
}

void FailoverManager::Leave(TimePoint now) {
  if (std::exchange(leaving_, true)) return;
  election_.Resign(now);
  entry_.leaving = true;
  store_.Put(std::string(kVmPrefix) + self_, FormatRecord(entry_), own_version_,
             [](const StoreReply& /*reply*/) {});
}

bool FailoverManager::WatchesStore(TimePoint now) const {
  return watches_store_for_peers_ || election_.IsLeader(now) ||
         now - leader_seen_at_ > kLeaderTimeout;
}

void FailoverManager::Tick(TimePoint now) {
  if (!watcher_.listed() || (active_ && WatchesStore(now))) watcher_.Tick(now);
  if (now < NextTick()) return;
  next_tick_ = now + (active_ ? kTickInterval : kLeaseRequestInterval);
  replacements_.clear();
  RegisterAgain(now);
  if (!active_) return;
  election_.Renew(now);
  DetectStoppedPredecessors(now);
  const bool leads = election_.IsLeader(now);
  const bool led = std::exchange(was_leader_, leads);
  const bool lost = led && !leads;
  if (leads && !led) {
    leader_since_ = now;
    next_store_read_ = now;
    if (election_.era() != 0) AnnounceEra();
  }
  if (!leads || records_read_at_ >= leader_since_) {
    for (const auto& [name, supervisor] : supervisors_) {
      supervisor->Tick(now);
      if (supervisor->IsReplacing()) replacements_.push_back(supervisor.get());
    }
  }
  GrantOwnLeases(now);
  const bool isolated = IsStoreLostOnlyHere(now);
  if (isolated) SetLeader("", now);
  const bool again = retry_step_down_ && now >= next_step_down_;
  if (isolated || again || (lost && election_.record().leader != self_)) {
    next_take_over_ = now + kTakeOverPause;
    next_step_down_ = now + kTakeOverRetry;
    retry_step_down_ = false;
    StepDown();
  }
  TakeOverIfDue(now);
  RequestLeases(now);
  SurveyAcknowledgements(now);
  ReadRecordsFromStore(now);
}

TimePoint FailoverManager::NextTick() const {
  TimePoint next = next_tick_;
  for (const PrimarySupervisor* supervisor : replacements_) {
    next = std::min(next, supervisor->NextTick());
  }
  return next;
}

}  // namespace carawayhaven
