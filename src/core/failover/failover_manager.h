#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_MANAGER_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>

#include "core/config/object_watcher.h"
#include "core/failover/acknowledgement_survey.h"
#include "core/failover/duty_election.h"
#include "core/failover/era_observing_store.h"
#include "core/failover/primary_keeper.h"
#include "core/membership/membership.h"
#include "core/peer_link.h"
#include "core/session/route_table.h"
#include "core/session/session_router.h"

namespace carawayhaven {

/// Coordinates the failover of primaries on one VM: takes part in the leader
/// election, supervises the primaries while this VM is the leader, requests
/// primary leases from peers and answers their requests. Not thread-safe; all
/// calls must come from the thread of the event loop.
class FailoverManager : public ObjectWatcherEvents,
                        private AcknowledgementSource {
 public:
  struct Dependencies {
    SessionLink& link;
    PlatformStore& store;
    PromotionService& promotions;
    SessionRouter& router;
    Membership& membership;
    PeerLink& peers;
    FailoverObserver& observer;
    std::mt19937_64& random;
    std::function<TimePoint()> clock;
  };

  /// `entry` is this VM's entry in the store, and `own_version` its version,
  /// which serves as the number of this process. All references in `deps` must
  /// outlive the manager.
  FailoverManager(const Dependencies& deps, VmName self, VmEntry entry,
                  ObjectVersion own_version);

  /// Sets the services that have primaries, and the version of the route table
  /// that lease requests carry.
  void SetRoutes(const RouteTable& routes);

  void OnLeaseRequest(const VmName& vm, const LeaseRequestMessage& request,
                      TimePoint now);
  /// Returns when the request was sent, or nothing if the reply is to none of
  /// the recent ones and was ignored.
  std::optional<TimePoint> OnLeaseReply(const VmName& vm,
                                        const LeaseReplyMessage& reply,
                                        TimePoint now);
  /// Sets the latest time at which the routes were known to be the latest ones,
  /// for replies to peers; TimePoint() for never.
  void SetConfigConfirmed(TimePoint at) { config_confirmed_at_ = at; }

  /// Gives up leadership and marks this VM's entry in the store as leaving.
  void Leave(TimePoint now);

  bool is_leader(TimePoint now) const { return election_.IsLeader(now); }
  /// True when this VM is the leader and may promote endpoints.
  bool MayPromote(TimePoint now) const { return election_.MayPromote(now); }

  /// Sets whether this VM runs sessions. Only VMs that do request leases and
  /// take part in the leader election.
  void SetActive(bool active) {
    if (active && !active_) next_tick_ = {};
    active_ = active;
  }
  /// Sets the candidates for leadership, in the order in which they try to take
  /// over; a VM that is not among them tries last. Without candidates, the
  /// membership's owner candidates are used.
  void SetCandidates(std::vector<VmName> candidates) {
    candidates_ = std::move(candidates);
  }
  /// Sets whether this VM watches the store on behalf of its peers.
  void SetWatchesStoreForPeers(bool watches) {
    watches_store_for_peers_ = watches;
  }
  /// True when this VM must watch the store itself instead of relying on peers:
  /// it watches on their behalf, is the leader, or has not learned of a live
  /// leader lately.
  bool WatchesStore(TimePoint now) const;
  /// True after the first complete list of the proxy's own objects was
  /// received.
  bool listed() const { return watcher_.listed(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnObject(const StoredObject& object, TimePoint now) override;
  void OnObjectRemoved(std::string_view path, TimePoint now) override;
  void OnObjectsSynced(TimePoint sent, TimePoint now) override;
  void OnStoreReachabilityChanged(bool reachable, TimePoint now) override;

  /// Records that the store answered a call of this VM.
  void RecordStoreAnswer(TimePoint now) { store_answered_at_ = now; }
  TimePoint store_answered_at() const { return store_answered_at_; }

 private:
  /// A lease request without a reply.
  struct LeaseRequest {
    VmName vm;
    TimePoint sent;
  };

  void NoteRecordedLeader(TimePoint now);
  void TakeOverIfDue(TimePoint now);
  void DetectStoppedPredecessors(TimePoint now);
  void RequestLeases(TimePoint now);
  void ReadRecordsFromStore(TimePoint now);
  /// Grants leases from the primary records. `sent` is when the call was sent
  /// whose answer shows that the records are current.
  void GrantRecordedLeases(TimePoint sent, TimePoint now);
  /// True when this VM is the leader and the store answers peers but not it.
  void OnStoreAnsweredPeer(TimePoint answered);
  bool IsStoreLostOnlyHere(TimePoint now) const;
  /// Writes this VM's entry again so that it gets a new version, which becomes
  /// the new process number.
  void StepDown();
  /// Writes this VM's entry, which gives this process a new number.
  void WriteEntry();
  /// The store is in this era, as far as a reply or a peer has told.
  void OnEra(std::uint64_t era, TimePoint now);
  /// Writes this VM's entry in the present era of the store, when that is due.
  void RegisterAgain(TimePoint now);
  void AnnounceEra();
  void GrantOwnLeases(TimePoint now);
  /// Applies a lease whose durations count from `from`.
  void ApplyLease(const LeaseGrant& lease, TimePoint from, TimePoint now);
  void ApplyAbsence(const PrimaryAbsence& absence, TimePoint now);
  /// As the leader, asks the VMs which commits they have reported to callers
  /// while promotions are held back.
  void SurveyAcknowledgements(TimePoint now);
  /// The VMs that may have reported a commit to a caller at `since` or later.
  std::vector<VmName> ReportingVms(TimePoint since) const;
  std::vector<AcknowledgedPosition> AcknowledgedPositions(
      std::span<const ServiceName> services, TimePoint now) const;
  std::optional<LogPosition> AcknowledgedUpTo(const ServiceName& service,
                                              LogPosition end) const override;
  std::vector<PrimaryReport> BuildReports(TimePoint now) const;
  void SetLeader(const VmName& leader, TimePoint now);
  PrimarySupervisor& SupervisorOf(const ServiceName& service);

  Dependencies deps_;
  VmName self_;
  VmEntry entry_;
  EraObservingStore store_;
  LeaderElection election_;
  ObjectWatcher watcher_;
  std::map<ServiceName, std::unique_ptr<PrimarySupervisor>> supervisors_;
  std::map<VmName, VmEntry> vms_;
  std::map<VmName, ObjectVersion> vm_versions_;
  /// When each VM that leaves was first seen to do so.
  std::map<VmName, TimePoint> vms_leaving_since_;
  VmName leader_;
  std::vector<VmName> candidates_;
  bool leaving_ = false;
  bool active_ = true;
  bool watches_store_for_peers_ = true;
  ObjectVersion own_version_;
  std::uint64_t config_version_ = 0;
  TimePoint config_confirmed_at_;
  TimePoint next_take_over_;
  /// When a peer last answered a lease request.
  TimePoint peer_answered_at_;
  CorrelationId next_correlation_;
  std::map<CorrelationId, LeaseRequest> requests_;
  const TimePoint started_at_;
  AcknowledgementSurvey survey_;
  TimePoint next_survey_;
  TimePoint next_lease_request_;
  /// Supervisors that replace a primary. Each of their steps is taken when it
  /// is due and not at the next tick, since callers wait for it.
  std::vector<const PrimarySupervisor*> replacements_;
  TimePoint next_tick_;
  /// When a leader was last alive, as far as this VM knows.
  TimePoint leader_seen_at_;
  TimePoint next_store_read_;
  /// When the last answered call for all of the proxy's own objects was sent.
  TimePoint records_read_at_;
  /// When this VM last became the leader.
  TimePoint leader_since_;
  /// When the store last answered this VM.
  TimePoint store_answered_at_;
  /// When the store first answered a peer long enough after this leader's
  /// writes began to fail. Outdated if it is before failing_since().
  TimePoint peer_store_answered_at_;
  TimePoint next_step_down_;
  bool store_read_in_flight_ = false;
  bool was_leader_ = false;
  bool step_down_pending_ = false;
  bool retry_step_down_ = false;
  /// The entry has not been written in the present era of the store.
  bool must_register_ = false;
  TimePoint next_registration_;
  /// This VM was the leader when the era of the store ended, and tries to
  /// become the leader of the new era before others do.
  bool reclaims_leadership_ = false;
  std::shared_ptr<FailoverManager*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_MANAGER_H_
