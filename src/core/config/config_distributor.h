#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_DISTRIBUTOR_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_DISTRIBUTOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/config/config_store.h"
#include "core/peer_link.h"
#include "core/peer_message.h"
#include "core/platform_store.h"

namespace carawayhaven {

class MemberView;

constexpr char kTeamsPrefix[] = "teams/";
/// Rendezvous key that selects the VMs that watch the store.
constexpr char kWatcherRendezvousKey[] = "watch";
constexpr std::size_t kWatchersPerDataCentre = 2;
/// Peers to which news is sent on. 1 - e^-6 = 99.8% of the VMs get it so; the
/// digests bring it to the others.
constexpr std::size_t kUpdateFanOut = 6;
/// Back-off of the watch while the store is down, with full jitter. Two
/// watchers in each of 6 data centres then make about 12 calls a second.
constexpr Duration kWatchBackoffMin = std::chrono::milliseconds(100);
constexpr Duration kWatchBackoffMax = std::chrono::seconds(2);
/// How often the role of a watcher is looked at again.
constexpr Duration kWatcherRoleCheckPeriod = std::chrono::milliseconds(250);
/// Least time between two requests for newer versions.
constexpr Duration kMinRequestInterval = std::chrono::milliseconds(500);
/// A digest may differ for this time after a change without a request, since
/// the change is on its way to the peers.
constexpr Duration kDigestMismatchGracePeriod = std::chrono::milliseconds(150);
/// Answers to a request arrive within this time; they are no news to others.
constexpr Duration kRequestReplyWindow = std::chrono::seconds(2);
/// Teams in one request: at most 460 KB with the longest names, below the
/// frame of 1 MiB. More teams take several requests.
constexpr std::size_t kMaxTeamsPerRequest = 4096;
/// Sent for one request; a peer that still differs asks again.
constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

/// Counters since the start.
struct ConfigCounters {
  std::uint64_t store_calls = 0;
  std::uint64_t updates_sent = 0;
  std::uint64_t requests_sent = 0;
  std::uint64_t applied = 0;
  std::uint64_t rejected = 0;
};

/// Brings the versions of all teams into the ConfigStore: from the platform's
/// store and from peers, and passes news on. Not thread-safe; one loop, one
/// thread.
class ConfigDistributor : public PeerEvents {
 public:
  /// All arguments must outlive it, except that callbacks of `platform` may
  /// come after its end. Starts with the first Tick.
  ConfigDistributor(ConfigStore& configs, PlatformStore& platform,
                    PeerLink& link, const MemberView& members,
                    std::mt19937_64& random);

  /// Takes a version that this proxy's own submission created.
  void OnSubmissionAccepted(std::string_view team, std::uint64_t version,
                            std::string_view value, TimePoint now);

  /// Handles ConfigUpdate, ConfigRequest and the digest of a Heartbeat; ignores
  /// all other messages.
  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now) override;
  void OnPeerLost(const VmName& vm, TimePoint now) override;

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_tick_; }

  const ConfigCounters& counters() const { return counters_; }

 private:
  void OnConfigUpdate(const VmName& from, const ConfigUpdateMessage& update,
                      TimePoint now);
  void OnConfigRequest(const VmName& from, const ConfigRequestMessage& request);
  void OnDigest(const VmName& from, const ConfigDigest& digest, TimePoint now);
  bool Apply(std::string_view team, std::uint64_t version,
             std::string_view value, TimePoint now);
  void Disseminate(std::string_view team, std::uint64_t version,
                   std::string_view value, const VmName& except);
  void SendRequest(const VmName& to, TimePoint now);
  void StartWatch();
  void OnWatchReply(const StoreReply& reply);

  ConfigStore& configs_;
  PlatformStore& platform_;
  PeerLink& link_;
  const MemberView& members_;
  std::mt19937_64& random_;
  /// Callbacks of the store hold a weak reference and do nothing after its end.
  std::shared_ptr<ConfigDistributor*> alive_;
  TimePoint now_;
  TimePoint next_tick_ = TimePoint::min();
  bool watch_in_flight_ = false;
  /// The first watch, which lists all teams, has ended well.
  bool initial_list_done_ = false;
  ObjectVersion revision_ = 0;
  TimePoint next_watch_allowed_;
  Duration backoff_ = kWatchBackoffMin;
  TimePoint last_change_at_ = TimePoint::min();
  TimePoint digest_mismatch_since_ = TimePoint::max();
  TimePoint next_request_allowed_ = TimePoint::min();
  VmName requested_peer_;
  TimePoint reply_window_end_ = TimePoint::min();
  ConfigCounters counters_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_DISTRIBUTOR_H_
