#ifndef CARAWAYHAVEN_TEST_FAILOVER_FAILOVER_SIMULATION_H_
#define CARAWAYHAVEN_TEST_FAILOVER_FAILOVER_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/failover/failover_manager.h"
#include "membership/simulation.h"

namespace carawayhaven {

/// Simulates some VMs, one service with three endpoints, the store and the
/// promotion service in virtual time. Callers on all VMs read and write
/// continuously; the results that they receive are checked against what the
/// endpoints did.
class FailoverSimulation {
 public:
  FailoverSimulation(std::size_t vms, std::uint64_t seed);
  ~FailoverSimulation();

  void RunFor(Duration duration) { simulation_.RunFor(duration); }
  /// Starts one fault of a random kind and duration; it ends by itself.
  void InjectFault();
  /// Crashes processes of endpoints, or of one, some or all VMs.
  void InjectRestart();
  /// As InjectFault, for the replication and the status of any endpoint.
  void InjectReplicaFault();
  /// Ends all faults except crashes of VMs, whose restart is scheduled.
  void EndAllFaults();

  void CrashVm(std::size_t vm, Duration down);
  void PauseVm(std::size_t vm, Duration duration);
  void CutVmFromStore(std::size_t vm, Duration duration);
  void CutVmFromPeers(std::size_t vm, Duration duration);
  /// Drops all messages between the two VMs.
  void CutLink(std::size_t a, std::size_t b, Duration duration);
  void StopStore(Duration duration);
  /// Replaces the store's objects by those that it held `age` ago and begins a
  /// new era. The store answers again after `outage`.
  void RestoreStore(Duration age, Duration outage);
  /// Restores the store from a copy of random age after a random outage.
  void InjectRestore();
  void CrashEndpoint(std::size_t endpoint, Duration down);
  /// As CrashEndpoint; the endpoint disappears from the registry, and comes
  /// back as another process, without its log if `keeps_log` is false. Without
  /// `down` it is lost for good.
  void CrashProcess(std::size_t endpoint, std::optional<Duration> down,
                    bool keeps_log = true);
  /// Changes the name of an endpoint that has disappeared from the registry.
  void RenameEndpoint(std::size_t endpoint, const EndpointName& name);
  /// From now on, replicas receive commits that they missed also without a
  /// newer one, from the endpoint that was promoted last, even if that one has
  /// stepped down.
  void RepeatReplication();
  /// Crashes all VMs.
  void CrashAllVms(Duration down);
  /// Cuts the endpoint from the other endpoints and from some VMs.
  void IsolateEndpoint(std::size_t endpoint, std::set<std::size_t> vms,
                       Duration duration);
  void MarkLeaving(std::size_t endpoint);
  /// Lets the VM run no sessions, like a VM that relays its callers. It calls
  /// the store only to write its entry.
  void Deactivate(std::size_t vm);
  /// Sets how many replicas must hold a commit before it is acknowledged.
  void SetSyncReplicas(std::uint32_t count);
  /// Lets the replica receive nothing.
  void StopReplication(std::size_t replica, Duration duration);
  /// Lets the endpoint refuse all status queries as one too many. Without
  /// `states_position`, the refusals contain no log position.
  void RefuseStatus(std::size_t endpoint, bool states_position,
                    Duration duration);
  /// Delays the answers to the endpoint's status queries.
  void DelayStatus(std::size_t endpoint, Duration delay);
  /// Starts the endpoint's process again, with an empty log.
  void RestartWithoutLog(std::size_t endpoint);
  /// Removes the endpoint's record from the registry, or adds it again.
  void SetRegistered(std::size_t endpoint, bool registered);
  /// Sets the time from the acceptance of a promotion until it takes effect.
  void SetPromotionTime(Duration time) { promotion_time_ = time; }
  /// Another writer replaces an object of the proxies in the store.
  void OverwriteObject(const std::string& path, const std::string& value);

  /// Index of the endpoint that is the primary of the highest term.
  std::size_t Primary() const;
  Term term() const { return primary_term_; }
  /// The running VMs that act as the leader.
  std::vector<std::size_t> Leaders() const;
  /// The running VMs that may promote an endpoint.
  std::vector<std::size_t> Promoters() const;
  /// The primary record in the store.
  PrimaryRecord StoredPrimary() const;
  /// The entry of the VM in the store, or nothing.
  std::optional<VmEntry> StoredVm(std::size_t vm) const;

  /// Descriptions of the violated invariants; empty while all hold.
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t promotions() const { return promotions_; }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  /// Number of statements that callers were told not to have run, and the
  /// longest time after which one of them was told so.
  std::size_t refusals() const { return refusals_; }
  Duration longest_refusal() const { return longest_refusal_; }
  void ResetRefusals() {
    refusals_ = 0;
    longest_refusal_ = Duration{0};
  }
  std::size_t reads() const { return reads_; }
  std::size_t replica_reads() const { return replica_reads_; }

 private:
  struct Endpoint;
  struct Vm;
  class Link;
  class Store;
  class Promotions;
  class Peers;
  class Caller;
  friend class Link;
  friend class Store;
  friend class Promotions;
  friend class Peers;
  friend class Caller;

  struct Commit {
    std::string id;
    TimePoint acknowledged;
  };

  void StartVm(std::size_t vm);
  void NotifyWatches(const std::string& path);
  /// Stores a new version of the object and answers the watches for it.
  void StoreObject(const std::string& path, const std::string& value);
  /// Runs a step of a VM's process and then its timers, or defers the step
  /// until the end of the VM's pause. Does nothing when the process has ended.
  void RunOnVm(std::size_t vm, std::uint64_t process,
               const std::function<void()>& step);
  void RunTimers(std::size_t vm);
  void ScheduleStatements(std::size_t vm);
  void Replicate(std::size_t from, const std::string& id, Term term);
  /// True when enough replicas hold the commit for its acknowledgement.
  bool IsReplicated(std::size_t from, const std::string& id) const;
  void ReturnProcess(std::size_t endpoint, bool keeps_log);
  void CompletePromotion(std::size_t endpoint);
  void FollowPrimary(std::size_t endpoint);
  void RecordViolation(const std::string& what);
  Duration Delay();
  double Chance();

  Simulation simulation_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<std::unique_ptr<Vm>> stopped_vms_;
  std::map<std::string, StoredObject> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t era_ = 0;
  struct StoreCopy {
    TimePoint at;
    std::uint64_t revision = 0;
    std::map<std::string, StoredObject> objects;
  };
  /// The store's objects after each change, oldest first.
  std::vector<StoreCopy> copies_;
  struct PendingWatch {
    std::size_t vm;
    std::uint64_t process;
    std::string prefix;
    ObjectVersion after;
    StoreCallback callback;
  };
  std::vector<PendingWatch> watches_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  TimePoint store_down_until_;
  Term primary_term_ = 1;
  std::size_t primary_index_ = 0;
  std::uint64_t last_token_ = 0;
  std::vector<Commit> acknowledged_;
  std::set<std::string> rolled_back_;
  std::vector<std::string> violations_;
  std::size_t promotions_ = 0;
  Duration promotion_time_ = std::chrono::milliseconds(300);
  std::uint32_t sync_replicas_ = 0;
  std::size_t refusals_ = 0;
  Duration longest_refusal_{0};
  std::size_t reads_ = 0;
  std::size_t replica_reads_ = 0;
  std::uint64_t next_id_ = 1;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_FAILOVER_FAILOVER_SIMULATION_H_
