#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_DISTRIBUTOR_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_DISTRIBUTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
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
/// Random peers to which each VM forwards a new version. The version reaches
/// 1 - e^-6 = 99.8% of the VMs this way; the other VMs get it after a digest
/// mismatch.
constexpr std::size_t kUpdateFanOut = 6;
/// Bounds of the back-off of the watch while the store is down, with full
/// jitter. Two watchers in each of 6 data centres make about 12 calls per
/// second at the maximum back-off.
constexpr Duration kWatchBackoffMin = std::chrono::milliseconds(100);
constexpr Duration kWatchBackoffMax = std::chrono::seconds(2);
/// Interval at which a VM checks whether it has become a watcher.
constexpr Duration kWatcherRoleCheckPeriod = std::chrono::milliseconds(250);
/// Minimum time between two requests for newer versions.
constexpr Duration kMinRequestInterval = std::chrono::milliseconds(500);
/// A digest mismatch causes no request for this time after a change, because
/// the change is still being disseminated to the peers. The grace period ends
/// early when the mismatch has lasted for kMinRequestInterval.
constexpr Duration kDigestMismatchGracePeriod = std::chrono::milliseconds(150);
/// Time within which the replies to a request arrive. They are not forwarded to
/// other peers.
constexpr Duration kRequestReplyWindow = std::chrono::seconds(2);
/// Teams in one request: at most 460 KB with the longest names, which fits a
/// frame of 1 MiB. More teams are split into several requests.
constexpr std::size_t kMaxTeamsPerRequest = 4096;
/// The replies to one request stop after this size; a peer whose digest still
/// differs sends another request.
constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

/// How long a VM that is no watcher leaves it to the watchers to write a lost
/// text again, with as much jitter.
constexpr Duration kLostTextDelay = std::chrono::seconds(1);
/// Time after which writing a lost text is tried again.
constexpr Duration kLostTextRetryDelay = std::chrono::milliseconds(500);

/// Counters since the start of the process.
struct ConfigCounters {
  std::uint64_t store_calls = 0;
  std::uint64_t updates_sent = 0;
  std::uint64_t requests_sent = 0;
  std::uint64_t applied = 0;
  std::uint64_t rejected = 0;
};

/// Applies the configuration versions of all teams, received from the
/// platform's store and from peers, to the ConfigStore and disseminates new
/// versions to peers. Writes texts in force to the store again when it has lost
/// them. Not thread-safe; all calls must come from the thread of
/// the event loop.
class ConfigDistributor : public PeerEvents {
 public:
  /// All arguments must outlive this object. Callbacks of `platform` may run
  /// after its destruction. Starts with the first Tick.
  ConfigDistributor(ConfigStore& configs, PlatformStore& platform,
                    PeerLink& link, const MemberView& members,
                    std::mt19937_64& random);

  /// Applies and disseminates a version created by a submission of this proxy.
  void OnSubmissionAccepted(std::string_view team, std::uint64_t version,
                            std::string_view value, TimePoint now);

  /// Handles ConfigUpdate, ConfigRequest and the digest of a Heartbeat. Ignores
  /// all other messages.
  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now) override;
  void OnPeerLost(const VmName& vm, TimePoint now) override;

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_tick_; }

  const ConfigCounters& counters() const { return counters_; }

 private:
  /// A text that the store lost when it was restored from a copy.
  struct LostText {
    /// Version of the object that the text replaces; zero if there is none.
    ObjectVersion expected = 0;
    std::string value;
    TimePoint write_at;
    bool in_flight = false;
  };

  void OnConfigUpdate(const VmName& from, const ConfigUpdateMessage& update,
                      TimePoint now);
  void OnConfigRequest(const VmName& from, const ConfigRequestMessage& request);
  void OnDigest(const VmName& from, const ConfigDigest& digest, TimePoint now);
  bool Apply(std::string_view team, std::uint64_t version,
             std::string_view value, TimePoint now);
  void Disseminate(std::string_view team, std::uint64_t version,
                   std::string_view value, const VmName& except);
  void SendRequest(const VmName& to, TimePoint now);
  void AddLostText(std::string_view team, ObjectVersion expected,
                   std::string_view value, TimePoint now);
  /// Finds the teams that are missing in a complete list of a restored store.
  void FindMissingTeams(const StoreReply& list);
  /// Writes the lost texts that are due to the store.
  void WriteLostTexts(TimePoint now);
  void OnLostTextWritten(const TeamName& team, const StoreReply& reply);
  bool IsWatcher() const;
  void StartWatch();
  void OnWatchReply(const StoreReply& reply);

  ConfigStore& configs_;
  PlatformStore& platform_;
  PeerLink& link_;
  const MemberView& members_;
  std::mt19937_64& random_;
  /// Store callbacks hold a weak reference and do nothing after the destruction
  /// of this object.
  std::shared_ptr<ConfigDistributor*> alive_;
  TimePoint now_;
  TimePoint next_tick_ = TimePoint::min();
  bool watch_in_flight_ = false;
  /// The first watch, which lists all teams, has succeeded, or a peer with the
  /// same digest made it unnecessary.
  bool initial_list_done_ = false;
  ObjectVersion revision_ = 0;
  TimePoint next_watch_allowed_;
  Duration backoff_ = kWatchBackoffMin;
  TimePoint last_change_at_ = TimePoint::min();
  TimePoint digest_mismatch_since_ = TimePoint::max();
  TimePoint next_request_allowed_ = TimePoint::min();
  VmName requested_peer_;
  TimePoint reply_window_end_ = TimePoint::min();
  std::map<TeamName, LostText, std::less<>> lost_texts_;
  ConfigCounters counters_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_DISTRIBUTOR_H_
