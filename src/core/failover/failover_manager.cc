#include "core/failover/failover_manager.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// A quarter of a right's time, so that three answers may be missed.
constexpr Duration kAskInterval = milliseconds(250);
constexpr Duration kRoundInterval = milliseconds(50);
// Without a grant for this long the holder counts as gone; each further
// candidate waits longer, so that one of them takes over alone.
constexpr Duration kHolderGone = milliseconds(600);
constexpr Duration kCandidateStagger = milliseconds(200);
// Without a grant of a peer for this long the store is asked, often enough that
// a right does not lapse between two answers.
constexpr Duration kStoreAskAfter = milliseconds(400);
constexpr Duration kStoreAskInterval = milliseconds(350);
constexpr Duration kAlonePatience = std::chrono::seconds(4);
// A VM that lost the duty does not take it back at once, so that two sides of a
// partition do not take it from each other all the time.
constexpr Duration kYieldPause = std::chrono::seconds(4);
constexpr Duration kTakeOverRetry = milliseconds(300);
// A holder that the store has not answered for this long hands the duty over
// when the store answers others: a renewal and its repetitions have failed.
constexpr Duration kStorePatience = std::chrono::seconds(3);
// The store has answered a peer so long after this holder's first failed write:
// longer than a call whose answer was lost just before the store went down.
constexpr Duration kStoreProof = milliseconds(1500);
// Answers to older requests are of no use.
constexpr Duration kForgetRequest = std::chrono::seconds(2);

}  // namespace

FailoverManager::FailoverManager(const Dependencies& parts, VmName self,
                                 VmEntry entry, ObjectVersion own_version)
    : parts_(parts),
      self_(std::move(self)),
      entry_(std::move(entry)),
      duty_(parts.store, self_, parts.clock),
      object_watcher_(parts.store, std::string(kProxyObjectPrefix), parts.clock,
                      parts.random, *this),
      own_version_(own_version),
      granted_at_(parts.clock()),
      alive_(std::make_shared<FailoverManager*>(this)) {
  duty_.SetIncarnation(own_version);
}

PrimarySupervisor& FailoverManager::KeeperOf(const ServiceName& service) {
  std::unique_ptr<PrimarySupervisor>& keeper = keepers_[service];
  if (keeper == nullptr) {
    keeper = std::make_unique<PrimarySupervisor>(
        PrimarySupervisorContext{
            parts_.link, parts_.store, parts_.promotions, duty_,
            parts_.observer, parts_.router.endpoints(), self_, parts_.clock},
        service);
  }
  return *keeper;
}

void FailoverManager::SetRoutes(const RouteTable& routes) {
  config_version_ = routes.version;
  for (const auto& [name, limits] : routes.services) {
    KeeperOf(name).SetSyncReplicas(limits.sync_replicas);
  }
}

void FailoverManager::OnObject(const StoredObject& object, TimePoint now) {
  const std::string_view path = object.path;
  try {
    if (path == kLeaderObjectPath) {
      // A new holder needs time to reach everybody.
      if (object.version > duty_.version()) {
        granted_at_ = std::max(granted_at_, now);
      }
      duty_.OnRecord(ParseLeaderRecord(object.value), object.version, now);
      NoteHolder(duty_.record().resigned ? VmName() : duty_.record().leader,
                 now);
    } else if (path.starts_with(kPrimaryPrefix)) {
      KeeperOf(ServiceName(path.substr(kPrimaryPrefix.size())))
          .OnRecord(ParsePrimaryRecord(object.value), object.version);
    } else if (path.starts_with(kVmPrefix)) {
      const VmName vm(path.substr(kVmPrefix.size()));
      vm_versions_[vm] = object.version;
      if (vm != self_) vms_[vm] = ParseVmEntry(object.value);
    }
  } catch (const DecodeError& error) {
    parts_.observer.OnMalformedObject(object.path, error.what());
  }
}

void FailoverManager::OnObjectRemoved(std::string_view path,
                                      TimePoint /*now*/) {
  if (path == kLeaderObjectPath) {
    duty_.OnRecordRemoved();
  } else if (path.starts_with(kVmPrefix)) {
    vms_.erase(VmName(path.substr(kVmPrefix.size())));
  }
}

void FailoverManager::OnObjectsSynced(TimePoint sent, TimePoint now) {
  std::vector<ListedVm> listed;
  for (const auto& [vm, entry] : vms_) {
    listed.push_back({vm, entry.data_centre, entry.address, entry.leaving});
  }
  parts_.membership.OnVmList(listed, now);
  RecordStoreAnswer(now);
  GrantRecorded(sent, now);
}

// The holder withdraws the record and waits the duration of a right before it
// replaces a primary, so a record that was seen is a right from that moment.
void FailoverManager::GrantRecorded(TimePoint sent, TimePoint now) {
  const TimePoint expires = sent + LeaderElection::kPrimaryLeaseDuration;
  if (expires <= now) return;
  for (const auto& [service, keeper] : keepers_) {
    const std::optional<PrimaryRecord>& record = keeper->record();
    if (!record || record->phase != PrimaryPhase::kServing) continue;
    parts_.router.GrantLease(service, {record->primary, record->term, expires},
                             now);
  }
}

// For a VM that reaches the store and no peer that holds rights, and for a new
// holder, which must know what its predecessor has recorded.
void FailoverManager::AskStoreForRights(TimePoint now) {
  const bool needed = duty_.IsLeader(now) ? records_read_at_ < held_since_
                                          : now - granted_at_ >= kStoreAskAfter;
  if (!needed || asking_store_ || now < next_store_ask_) return;
  asking_store_ = true;
  next_store_ask_ = now + kStoreAskInterval;
  parts_.store.Watch(
      kProxyObjectPrefix, 0,
      [alive = std::weak_ptr(alive_), sent = now](const StoreReply& reply) {
        const auto self = alive.lock();
        if (self == nullptr) return;
        FailoverManager& manager = **self;
        manager.asking_store_ = false;
        if (reply.status != StoreStatus::kOk) return;
        const TimePoint answered = manager.parts_.clock();
        manager.RecordStoreAnswer(answered);
        for (const StoredObject& object : reply.objects) {
          manager.OnObject(object, answered);
        }
        manager.records_read_at_ = std::max(manager.records_read_at_, sent);
        manager.GrantRecorded(sent, answered);
      });
}

// A peer had an answer while this holder's writes failed, and one that was sent
// later has failed as well: the store is not down for all.
bool FailoverManager::IsAloneWithoutStore(TimePoint now) const {
  if (!duty_.IsLeader(now) || duty_.failing_since() == TimePoint::max()) {
    return false;
  }
  return now - duty_.renewed_at() > kStorePatience &&
         peer_store_answered_at_ > duty_.failing_since() + kStoreProof &&
         duty_.last_write_failure_at() > peer_store_answered_at_;
}

// Another VM took the duty over while this one held it, or should: the entry's
// new version shows that this process grants nothing any more under its old
// number. Until it is written the process takes no part in the election.
void FailoverManager::Yield() {
  if (yielding_) return;
  yielding_ = true;
  duty_.SetIncarnation(0);
  ++entry_.leadership_losses;
  parts_.store.Put(std::string(kVmPrefix) + self_, FormatRecord(entry_),
                   own_version_,
                   [alive = std::weak_ptr(alive_)](const StoreReply& reply) {
                     const auto self = alive.lock();
                     if (self == nullptr) return;
                     FailoverManager& manager = **self;
                     manager.yielding_ = false;
                     const bool known = reply.status == StoreStatus::kOk ||
                                        reply.status == StoreStatus::kConflict;
                     if (known) manager.own_version_ = reply.object.version;
                     if (reply.status == StoreStatus::kOk) {
                       manager.duty_.SetIncarnation(reply.object.version);
                     } else {
                       manager.yield_again_ = true;
                     }
                   });
}

void FailoverManager::OnStoreReachabilityChanged(bool reachable,
                                                 TimePoint /*now*/) {
  parts_.observer.OnStoreReachable(kProxyObjectPrefix, reachable);
}

void FailoverManager::NoteHolder(const VmName& leader, TimePoint now) {
  if (std::exchange(holder_, leader) == leader) return;
  parts_.observer.OnLeaderChanged(leader, duty_.IsLeader(now));
}

// The first candidate acts first; the others only when it did not.
void FailoverManager::ConsiderTakeOver(TimePoint now) {
  if (!object_watcher_.listed() || leaving_ || duty_.IsLeader(now) ||
      now < next_take_over_) {
    return;
  }
  int rank = 0;
  for (const VmName& vm : candidates_.empty()
                              ? parts_.membership.table().OwnerCandidates()
                              : candidates_) {
    if (vm == self_) break;
    if (vm != duty_.record().leader) ++rank;
  }
  const bool vacant = duty_.record().leader.empty() || duty_.record().resigned;
  // A VM that no peer answers leaves the duty to those that reach each other.
  const bool alone = now - peer_answered_at_ > kHolderGone &&
                     !parts_.membership.table().members().empty();
  const Duration patience = alone    ? kAlonePatience
                            : vacant ? Duration{0}
                                     : kHolderGone;
  if (now - granted_at_ < patience + rank * kCandidateStagger) return;
  next_take_over_ = now + kTakeOverRetry;
  duty_.TryAcquireLeadership();
}

// A predecessor whose process has ended grants nothing any more.
void FailoverManager::ReviewPredecessors(TimePoint now) {
  for (const auto& [tenure, settled] : duty_.active_predecessors()) {
    const auto version = vm_versions_.find(tenure.leader);
    if (version != vm_versions_.end() && version->second > tenure.incarnation) {
      duty_.OnLeaderStopped(tenure, now);
    }
  }
}

void FailoverManager::GrantOwn(TimePoint now) {
  if (!duty_.IsLeader(now)) return;
  granted_at_ = now;
  for (const auto& [service, keeper] : keepers_) {
    if (const auto right = keeper->GrantableLease(now)) {
      TakeRight(*right, now, now);
    } else if (const auto ready_in = keeper->TimeUntilReady(now)) {
      parts_.router.ExpectPrimary(service, now + *ready_in, now);
    }
  }
}

void FailoverManager::TakeRight(const LeaseGrant& right, TimePoint from,
                                TimePoint now) {
  const TimePoint expires = from + right.time_left;
  if (expires <= now) return;
  parts_.router.GrantLease(right.service, {right.endpoint, right.term, expires},
                           now);
  if (right.position.term > 0) {
    parts_.router.AddPosition(right.service, from - right.position_age,
                              right.position);
  }
}

std::vector<PrimaryReport> FailoverManager::Reports(TimePoint now) const {
  std::vector<PrimaryReport> reports;
  for (const auto& [service, right] : parts_.router.leases().all()) {
    const auto found = parts_.router.endpoints().find(right.endpoint);
    if (found == parts_.router.endpoints().end()) continue;
    const EndpointState& endpoint = found->second;
    PrimaryReport report;
    report.service = service;
    report.endpoint = right.endpoint;
    report.answer_age =
        std::min<Duration>(now - endpoint.last_answer, std::chrono::hours(1));
    report.failing = endpoint.failing_since != TimePoint::max();
    reports.push_back(std::move(report));
  }
  return reports;
}

void FailoverManager::AskForRights(TimePoint now) {
  if (now < next_ask_) return;
  next_ask_ = now + kAskInterval;
  std::erase_if(asked_, [now](const auto& entry) {
    return now - entry.second > kForgetRequest;
  });
  LeaseRequestMessage request;
  request.config_version = config_version_;
  request.leader_record_version = duty_.version();
  request.store_age = now - store_answered_at_;
  request.reports = Reports(now);
  const auto ask = [&](const VmName& vm) {
    request.correlation = next_correlation_++;
    if (parts_.peers.Send(vm, request)) asked_[request.correlation] = now;
  };
  if (duty_.IsLeader(now)) {
    // A predecessor that still runs can say that it grants nothing any more.
    for (const auto& [tenure, settled] : duty_.active_predecessors()) {
      if (now < settled) ask(tenure.leader);
    }
    return;
  }
  if (!holder_.empty() && holder_ != self_) ask(holder_);
  // A peer passes on what it holds when the holder itself cannot be reached.
  const std::vector<VmName>& peers = parts_.membership.Peers();
  if (now - granted_at_ > 2 * kAskInterval && !peers.empty()) {
    std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
    const VmName peer = peers[any(parts_.random)];
    if (peer != holder_) ask(peer);
  }
}

void FailoverManager::OnLeaseRequest(const VmName& vm,
                                     const LeaseRequestMessage& request,
                                     TimePoint now) {
  LeaseReplyMessage reply;
  if (request.leader_record_version > duty_.version()) {
    duty_.OnSuperseded(request.leader_record_version);
    // The answer below settles this tenure, so that it must not go on when a
    // write that is under way turns out to have succeeded.
    if (!duty_.IsLeader(now) && duty_.IsRecordOwner()) Yield();
  }
  if (request.store_age >= Duration{0}) {
    peer_store_answered_at_ =
        std::max(peer_store_answered_at_, now - request.store_age);
  }
  reply.correlation = request.correlation;
  reply.leader = holder_;
  reply.leader_age = now - granted_at_;
  if (duty_.IsLeader(now)) {
    reply.leader = self_;
    reply.leader_age = Duration{0};
    for (const PrimaryReport& report : request.reports) {
      const auto keeper = keepers_.find(report.service);
      if (keeper != keepers_.end()) keeper->second->OnReport(vm, report, now);
    }
    for (const auto& [service, keeper] : keepers_) {
      if (auto right = keeper->GrantableLease(now)) {
        reply.leases.push_back(std::move(*right));
      } else if (const auto ready_in = keeper->TimeUntilReady(now)) {
        reply.absences.push_back({service, *ready_in});
      }
    }
  } else {
    for (const auto& [service, right] : parts_.router.leases().all()) {
      if (right.expires <= now) continue;
      LeaseGrant& passed = reply.leases.emplace_back();
      passed.service = service;
      passed.endpoint = right.endpoint;
      passed.term = right.term;
      passed.time_left = right.expires - now;
      const PositionHistory* history =
          parts_.router.FindPositionHistory(service);
      if (const auto newest =
              history == nullptr ? std::nullopt : history->Newest()) {
        passed.position = newest->position;
        passed.position_age = now - newest->at;
      }
    }
  }
  parts_.peers.Send(vm, reply);
}

// Everything counts from the moment at which the request was sent: the time
// that the answer took is lost, never added.
void FailoverManager::OnLeaseReply(const VmName& vm,
                                   const LeaseReplyMessage& reply,
                                   TimePoint now) {
  const auto asked = asked_.find(reply.correlation);
  if (asked == asked_.end()) return;
  const TimePoint sent = asked->second;
  asked_.erase(asked);
  peer_answered_at_ = now;
  if (reply.leader == vm && !duty_.IsLeader(now)) NoteHolder(vm, now);
  granted_at_ = std::max(granted_at_, sent - reply.leader_age);
  for (const auto& [tenure, settled] : duty_.active_predecessors()) {
    if (tenure.leader == vm && reply.leader != vm) {
      duty_.OnLeaderStopped(tenure, now);
    }
  }
  for (const LeaseGrant& right : reply.leases) TakeRight(right, sent, now);
  for (const PrimaryAbsence& absence : reply.absences) {
    parts_.router.ExpectPrimary(absence.service, now + absence.ready_in, now);
  }
}

void FailoverManager::Leave(TimePoint now) {
  if (std::exchange(leaving_, true)) return;
  duty_.Resign(now);
  entry_.leaving = true;
  parts_.store.Put(std::string(kVmPrefix) + self_, FormatRecord(entry_),
                   own_version_, [](const StoreReply& /*reply*/) {});
}

bool FailoverManager::MustWatchStore(TimePoint now) const {
  return watcher_ || duty_.IsLeader(now) || now - granted_at_ > kHolderGone;
}

void FailoverManager::Tick(TimePoint now) {
  if (!object_watcher_.listed() || (active_ && MustWatchStore(now)))
    object_watcher_.Tick(now);
  if (now < next_round_) return;
  next_round_ = now + (active_ ? kRoundInterval : kAskInterval);
  if (!active_) return;
  duty_.Renew(now);
  ReviewPredecessors(now);
  const bool holds = duty_.IsLeader(now);
  const bool held = std::exchange(was_holder_, holds);
  const bool lost = held && !holds;
  if (holds && !held) {
    held_since_ = now;
    next_store_ask_ = now;
  }
  if (!holds || records_read_at_ >= held_since_) {
    for (const auto& [service, keeper] : keepers_) keeper->Tick(now);
  }
  GrantOwn(now);
  const bool alone = IsAloneWithoutStore(now);
  if (alone) NoteHolder("", now);
  const bool again = yield_again_ && now >= next_yield_;
  if (alone || again || (lost && duty_.record().leader != self_)) {
    next_take_over_ = now + kYieldPause;
    next_yield_ = now + kTakeOverRetry;
    yield_again_ = false;
    Yield();
  }
  ConsiderTakeOver(now);
  AskForRights(now);
  AskStoreForRights(now);
}

TimePoint FailoverManager::NextTick() const { return next_round_; }

}  // namespace carawayhaven
