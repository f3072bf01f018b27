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
/// A heartbeat without an answer for this time makes the peer suspected.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(500);
/// A suspicion without a refutation for this time makes the VM dead.
constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(1500);
/// Added by a VM that has the suspicion by hearsay, so that the death declared
/// by the first observer, or a refutation, arrives before its own timer ends.
/// It probes the VM itself in that time: without that, 5% loss led to false
/// deaths where gossip had brought the suspicion but not the refutation.
constexpr Duration kIndirectSuspicionMargin = std::chrono::milliseconds(1000);
/// The first observer repeats its heartbeat to the suspected VM, with the
/// suspicion in it. With 5% loss each way six repeats all fail in 1 of 10^6.
constexpr Duration kSuspicionProbePeriod = std::chrono::milliseconds(250);
/// One dead VM is tried in each such period, so that two sides of a healed
/// partition find each other.
constexpr Duration kDeadProbePeriod = std::chrono::seconds(2);
/// A dead VM that the platform's list does not name is forgotten after this
/// time; a partition lasts an hour.
constexpr Duration kDeadRetention = std::chrono::hours(2);
/// A tick that is later than this means that this process was paused; answers
/// and refutations may be waiting unread, so no timer counts that time.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);

constexpr std::size_t kHeartbeatsToOwnDataCentre = 3;
constexpr std::size_t kHeartbeatsToOtherDataCentres = 1;
constexpr std::size_t kMaxChangesPerHeartbeat = 8;
/// Suspected VMs that are probed again at once in one period.
constexpr std::size_t kMaxSuspicionProbesPerTick = 4;
/// Records in one message of the whole table: below 400 KB at the longest
/// names, well inside a frame of 1 MiB.
constexpr std::size_t kMaxRecordsPerTableMessage = 1024;

/// Counters since the start.
struct GossipCounters {
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t replies_sent = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t deaths = 0;
  std::uint64_t pauses = 0;
};

/// Detects failures of VMs and spreads changes, in the manner of SWIM. Not
/// thread-safe; one loop, one thread.
class Gossip {
 public:
  /// All arguments must outlive it. Starts with the first Tick.
  Gossip(MemberTable& table, PeerLink& link, const ConfigDigestSource& digests,
         std::mt19937_64& random);

  /// Takes a record from elsewhere than a heartbeat.
  void ApplyRecord(const VmRecord& record, TimePoint now);

  void OnHeartbeat(const VmName& from, const HeartbeatMessage& message,
                   TimePoint now);

  /// The link to the VM broke: it is suspected and probed at once.
  void OnPeerLost(const VmName& vm, TimePoint now);

  /// Sets this VM's state to leaving and tells all reachable peers.
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
  /// Peers in random order, without repeats until all were met.
  struct Rotation {
    std::vector<VmName> order;
    std::size_t next = 0;
  };

  void MergeRecord(const VmRecord& record, TimePoint now, bool news);
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
  void CompensateForPause(Duration lateness);
  std::size_t TransmissionLimit() const;

  MemberTable& table_;
  PeerLink& link_;
  const ConfigDigestSource& digests_;
  std::mt19937_64& random_;
  ChangeQueue pending_changes_;
  /// Heartbeats without an answer, by the time of the oldest one.
  std::map<VmName, TimePoint> unanswered_;
  std::map<VmName, Suspicion> suspicions_;
  Rotation own_data_centre_peers_;
  Rotation other_data_centre_peers_;
  VmName last_probed_dead_;
  bool started_ = false;
  bool joined_ = false;
  TimePoint next_period_;
  TimePoint next_dead_probe_;
  GossipCounters counters_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_GOSSIP_H_
