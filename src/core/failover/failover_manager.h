#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_MANAGER_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "core/config/object_watcher.h"
#include "core/failover/leader_election.h"
#include "core/failover/primary_supervisor.h"
#include "core/membership/membership.h"
#include "core/peer_link.h"
#include "core/session/route_table.h"
#include "core/session/session_router.h"

namespace carawayhaven {

/// Joins the parts that decide who may use which endpoint as a primary: elects
/// the VM that grants rights, keeps the primaries when it is this one, asks
/// peers for rights and answers them. Not thread-safe; one loop, one thread.
class FailoverManager : public ObjectWatcherEvents {
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

  /// `own_version` is the version of this VM's entry in the store, which
  /// numbers this process.
  FailoverManager(const Dependencies& parts, VmName self, VmEntry entry,
                  ObjectVersion own_version);

  /// Sets the services that have primaries, and the version that peers with an
  /// older route table are told of.
  void SetRoutes(const RouteTable& routes);

  void OnLeaseRequest(const VmName& vm, const LeaseRequestMessage& request,
                      TimePoint now);
  void OnLeaseReply(const VmName& vm, const LeaseReplyMessage& reply,
                    TimePoint now);

  /// Hands the duty over and takes this VM off the list of peers.
  void Leave(TimePoint now);

  bool is_leader(TimePoint now) const { return duty_.IsLeader(now); }

  /// Says whether this VM runs sessions; only such VMs ask for rights and stand
  /// for the duty.
  void SetActive(bool active) { active_ = active; }
  /// Sets the VMs that may take the duty over, in the order in which they try;
  /// all VMs until it is called.
  void SetCandidates(std::vector<VmName> candidates) {
    candidates_ = std::move(candidates);
  }
  /// Says whether this VM watches the store for the others.
  void SetWatchesStoreForPeers(bool watcher) { watcher_ = watcher; }
  /// True when this VM must learn from the store what others learn from peers:
  /// it watches for them, holds the duty, or no peer that holds rights answers.
  bool MustWatchStore(TimePoint now) const;
  /// True after the first complete list of the proxy's own objects.
  bool listed() const { return object_watcher_.listed(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnObject(const StoredObject& object, TimePoint now) override;
  void OnObjectRemoved(std::string_view path, TimePoint now) override;
  void OnObjectsSynced(TimePoint sent, TimePoint now) override;
  void OnStoreReachabilityChanged(bool reachable, TimePoint now) override;

  /// The store has answered a call of this VM.
  void RecordStoreAnswer(TimePoint now) { store_answered_at_ = now; }

 private:
  void ConsiderTakeOver(TimePoint now);
  void ReviewPredecessors(TimePoint now);
  void AskForRights(TimePoint now);
  void AskStoreForRights(TimePoint now);
  /// The store's records were as they are known now when a call was sent.
  void GrantRecorded(TimePoint sent, TimePoint now);
  /// True when the store serves peers and not this VM, which holds the duty.
  bool IsAloneWithoutStore(TimePoint now) const;
  void Yield();
  void GrantOwn(TimePoint now);
  /// Takes a right whose times count from `from`.
  void TakeRight(const LeaseGrant& right, TimePoint from, TimePoint now);
  std::vector<PrimaryReport> Reports(TimePoint now) const;
  void NoteHolder(const VmName& leader, TimePoint now);
  PrimarySupervisor& KeeperOf(const ServiceName& service);

  Dependencies parts_;
  VmName self_;
  VmEntry entry_;
  LeaderElection duty_;
  ObjectWatcher object_watcher_;
  std::map<ServiceName, std::unique_ptr<PrimarySupervisor>> keepers_;
  std::map<VmName, VmEntry> vms_;
  std::map<VmName, ObjectVersion> vm_versions_;
  VmName holder_;
  std::vector<VmName> candidates_;
  bool leaving_ = false;
  bool active_ = true;
  bool watcher_ = true;
  ObjectVersion own_version_;
  std::uint64_t config_version_ = 0;
  TimePoint next_take_over_;
  /// When a peer last answered a request for rights.
  TimePoint peer_answered_at_;
  CorrelationId next_correlation_ = 1;
  std::map<CorrelationId, TimePoint> asked_;
  TimePoint next_ask_;
  TimePoint next_round_;
  /// When a holder was last alive, as far as this VM knows.
  TimePoint granted_at_;
  TimePoint next_store_ask_;
  /// When the last answered call for all own objects was sent.
  TimePoint records_read_at_;
  /// When this VM last became the holder.
  TimePoint held_since_;
  /// When the store last answered this VM, and any peer.
  TimePoint store_answered_at_;
  TimePoint peer_store_answered_at_;
  TimePoint next_yield_;
  bool asking_store_ = false;
  bool was_holder_ = false;
  bool yielding_ = false;
  bool yield_again_ = false;
  std::shared_ptr<FailoverManager*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_MANAGER_H_
