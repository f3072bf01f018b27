#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_GOSSIP_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/membership/change_queue.h"
#include "core/membership/member_table.h"
#include "core/peer_message.h"

namespace carawayhaven {

class ConfigDigestSource;
class PeerLink;

constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(500);
/// A peer that has not answered a heartbeat for this time is suspected.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(500);
/// A suspected VM that has not refuted the suspicion for this time is declared
/// dead.
constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(1500);
/// Added to the suspicion timeout by a VM that received the suspicion from a
/// third VM, so that a death declared by the first observer, or a refutation,
/// arrives before its own timer expires. The VM probes the suspected VM itself
/// during that time. Without these probes, 5% message loss led to false deaths
/// where gossip had delivered the suspicion but not the refutation.
constexpr Duration kIndirectSuspicionMargin = std::chrono::milliseconds(1000);
/// Interval at which the first observer repeats its heartbeat, which carries
/// the suspicion, to the suspected VM. With 5% loss in each direction all six
/// repeats fail with a probability of 1 in 10^6.
constexpr Duration kSuspicionProbePeriod = std::chrono::milliseconds(250);
/// One dead VM is probed in each such period, so that the two sides of a healed
/// partition detect each other.
constexpr Duration kDeadProbePeriod = std::chrono::seconds(2);
/// A dead VM that is not in the platform's list is removed after this time,
/// which exceeds the assumed partition of one hour.
constexpr Duration kDeadRetention = std::chrono::hours(2);
/// A tick that is late by more than this means that this process was paused.
/// Replies and refutations may be waiting unread then, so the pause does not
/// count towards any timeout.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);

constexpr std::size_t kHeartbeatsToOwnDataCentre = 3;
constexpr std::size_t kHeartbeatsToOtherDataCentres = 1;
constexpr std::size_t kMaxChangesPerHeartbeat = 8;
/// Suspected VMs that are probed in one tick.
constexpr std::size_t kMaxProbesPerTick = 4;
/// Records in one message of a full table: less than 400 KB with the longest
/// names, which fits a frame of 1 MiB.
constexpr std::size_t kMaxRecordsPerTableMessage = 1024;

/// Counters since the start of the process.
struct GossipCounters {
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t replies_sent = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t deaths = 0;
  std::uint64_t pauses = 0;
};

/// Failure detector for VMs that also disseminates membership changes, similar
/// to SWIM. Not thread-safe; all calls must come from the thread of the event
/// loop.
class Gossip {
 public:
  /// All arguments must outlive this object. Starts with the first Tick.
  Gossip(MemberTable& table, PeerLink& link, const ConfigDigestSource& digests,
         std::mt19937_64& random);

  /// Applies a record that was not received in a heartbeat.
  void ApplyRecord(const VmRecord& record, TimePoint now);

  void OnHeartbeat(const VmName& from, const HeartbeatMessage& message,
                   TimePoint now);

  /// Handles the loss of the link to the VM: suspects and probes it at once.
  void OnPeerLost(const VmName& vm, TimePoint now);

  /// Sets this VM's state to leaving and notifies all peers that are not dead.
  void Leave(TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  const GossipCounters& counters() const { return counters_; }

 private:
  struct Suspicion {
    std::uint64_t incarnation = 0;
    TimePoint deadline;
    TimePoint next_probe;
  };
  /// Peers in random order; each is selected once before any is repeated.
  struct Rotation {
    std::vector<VmName> order;
    std::size_t next = 0;
  };

  void Apply(const VmRecord& record, TimePoint now, bool propagate);
  void Refute(std::uint64_t incarnation);
  void Suspect(const VmName& vm, TimePoint now);
  void SendHeartbeat(const VmName& to, bool reply, TimePoint now);
  void SendFullTable(const VmName& to);
  void StartPeriod(TimePoint now);
  void SendHeartbeats(Rotation& rotation, bool same_data_centre,
                      std::size_t count, TimePoint now);
  void RefillRotation(Rotation& rotation, bool same_data_centre);
  void ProbeSuspected(TimePoint now);
  void ProbeNextDead(TimePoint now);
  void ExpireSuspicions(TimePoint now);
  void AdjustForPause(Duration lateness);
  std::size_t TransmissionLimit() const;

  MemberTable& table_;
  PeerLink& link_;
  const ConfigDigestSource& digests_;
  std::mt19937_64& random_;
  ChangeQueue pending_changes_;
  /// Send time of the oldest unanswered heartbeat to each peer.
  std::map<VmName, TimePoint> unanswered_;
  std::map<VmName, Suspicion> suspicions_;
  Rotation own_data_centre_peers_;
  Rotation other_data_centre_peers_;
  VmName last_probed_dead_;
  bool started_ = false;
  /// A peer has replied to a heartbeat.
  bool joined_ = false;
  TimePoint next_period_;
  TimePoint next_dead_probe_;
  GossipCounters counters_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_GOSSIP_H_
