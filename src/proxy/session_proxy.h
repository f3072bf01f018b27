#ifndef CARAWAYHAVEN_PROXY_SESSION_PROXY_H_
#define CARAWAYHAVEN_PROXY_SESSION_PROXY_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_evidence.h"
#include "core/config/config_exchange_limiter.h"
#include "core/config/object_watcher.h"
#include "core/failover/failover_manager.h"
#include "core/limits/escrow_limiter.h"
#include "core/membership/cut_off_detector.h"
#include "core/membership/load_meter.h"
#include "core/membership/membership.h"
#include "core/membership/session_activity.h"
#include "core/session/caller_session.h"
#include "core/session/connection_share.h"
#include "core/session/session_router.h"
#include "net/http_server.h"
#include "net/peer_transport.h"
#include "proxy/bounded_output.h"
#include "proxy/caller_listener.h"
#include "proxy/metrics.h"
#include "proxy/platform_documents.h"
#include "proxy/session_log.h"
#include "proxy/settings.h"
#include "proxy/settings_reload.h"

namespace carawayhaven {

class EventLoop;
struct CallerResources;

/// External dependencies of a session proxy. All referenced objects must
/// outlive the proxy.
struct SessionProxyDependencies {
  EventLoop& loop;
  PlatformStore& store;
  PromotionService& promotions;
  SessionLink& link;
  /// Sends the data that is queued on the link; called at the end of each round
  /// (event loop iteration).
  std::function<void()> flush_link;
  CallerListener& callers;
  /// Accepts sessions that peers relay.
  CallerListener& relayed_callers;
  const PlatformDocuments& documents;
  BoundedOutput& log_output;
  /// What the callers use; null if they have no bounds.
  const CallerResources* caller_resources = nullptr;
};

/// A proxy for callers with sessions: connects the core with the network. It
/// holds no durable state; the routes, the endpoints and the proxy's own
/// records are in the platform's store. Not thread-safe; all calls must come
/// from the thread of the event loop.
class SessionProxy : public PeerEvents, public SessionFactory {
 public:
  /// Starts to serve the readiness check and the metrics and to register this
  /// VM; listens for peers once this VM is registered. Throws NetworkError when
  /// it cannot listen on an address.
  SessionProxy(const SessionProxyDependencies& deps, const Settings& settings);
  ~SessionProxy() override;
  SessionProxy(const SessionProxy&) = delete;
  SessionProxy& operator=(const SessionProxy&) = delete;

  /// Reports that the proxy is not ready, completes the work in flight, then
  /// stops the loop, within the `shutdown_grace` of the settings.
  void Drain();
  /// To be called when the settings file may have changed. Applies the settings
  /// that may change while the proxy runs.
  void OnReload(const SettingsLoader& load);

  std::shared_ptr<CallerSession> CreateSession(CallerChannel& channel) override;
  std::optional<std::vector<std::string>> RelayAddresses(
      std::string_view key) override;
  bool AcceptsRelayed() const override;

  /// Address on which a proxy accepts sessions that its peers relay: the port
  /// of `peer_address` plus one. Throws NetworkError if there is no such
  /// address.
  static std::string RelayAddressOf(const std::string& peer_address);

 private:
  // Source of routes that were read from the store and did not come from a
  // peer.
  static constexpr std::string_view kStoreSource = "store";
  // Interval at which sessions and transactions are checked while the VM
  // drains.
  static constexpr Duration kDrainInterval = std::chrono::milliseconds(50);

  class StoreWatcher;
  class RoutesWatcher;
  class EndpointsWatcher;
  class ReadinessHandler;
  class MetricsHandler;
  struct Cluster;

  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now) override;
  void OnPeerLost(const VmName& vm, TimePoint now) override;
  void OnLeaseReply(const VmName& vm, const LeaseReplyMessage& reply,
                    TimePoint now);

  void SendRoutes(const VmName& vm);
  bool IsInOwnDataCentre(const VmName& vm) const;
  /// `shown` is the version that the peer has.
  void OfferRoutes(const VmName& vm, std::uint64_t shown);
  /// `version` is the version that the peer has. Unless `at_once`, the own data
  /// centre has some time to deliver it first.
  void RequestRoutes(const VmName& vm, std::uint64_t version, bool at_once);
  void RegisterVm();
  void OnRegistered(ObjectVersion version);
  void ApplyRoutes(const std::string& text, std::string_view source,
                   TimePoint now);
  /// Closes the sessions whose key is not in the routes in force, once they are
  /// idle.
  void CloseUnauthenticatedSessions(TimePoint now);
  void LogConfigEvidence(TimePoint now);
  void UpdateConnectionLimits(TimePoint now);
  /// Tells the limiter which VMs run sessions.
  void UpdateLimiter(TimePoint now);
  void OnRound();
  void ResetLinksToLostPeers();
  void UpdatePlacement(TimePoint now);
  void UpdateLoad(TimePoint now);
  void CountPlacement(std::string_view reason);
  void CheckPrimaryLeases(TimePoint now);
  std::vector<std::shared_ptr<CallerSession>> LiveSessions() const;
  /// Closes the sessions that are between two operations; their callers
  /// reconnect.
  void CloseIdleSessions(std::string_view reason);
  bool IsCutOff() const { return cut_off_detector_.is_cut_off(); }
  TimePoint store_answered_at() const;
  /// True when sessions may run on this VM: it is active, and its routes and
  /// endpoints were read from the store since it became active.
  bool CanRunSessions() const;
  void EndIdleTransactions(TimePoint now);
  void TickDrain(TimePoint now);
  bool IsReady() const;

  SessionProxyDependencies deps_;
  Settings settings_;
  std::mt19937_64 random_;
  Metrics metrics_;
  SessionLog log_;
  /// Used by the router.
  EscrowLimiter limiter_;
  SessionRouter router_;
  RouteTable routes_;
  std::string routes_text_;
  ConfigExchangeLimiter exchange_limiter_;
  ConfigEvidence config_evidence_;
  bool config_was_current_ = false;
  std::unique_ptr<RoutesWatcher> routes_watcher_;
  std::unique_ptr<EndpointsWatcher> endpoints_watcher_;
  /// Peers and failover; null until this VM is registered.
  std::unique_ptr<Cluster> cluster_;
  std::unique_ptr<ReadinessHandler> readiness_handler_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<MetricsHandler> metrics_handler_;
  std::unique_ptr<HttpServer> admin_server_;
  std::set<std::weak_ptr<CallerSession>,
           std::owner_less<std::weak_ptr<CallerSession>>>
      sessions_;
  VmEntry entry_;
  ObjectVersion entry_version_ = 0;
  TimePoint next_sweep_;
  /// This VM watches the store and may run sessions.
  /// False until the list of VMs is known: each VM that watches the store at
  /// the start gets every entry that the others write.
  bool active_ = false;
  /// True once the placement was computed from a list of VMs.
  bool placed_ = false;
  TimePoint active_since_;
  SessionActivity activity_;
  TimePoint drain_started_ = TimePoint::max();
  bool stopping_ = false;
  TimePoint next_wakeup_ = TimePoint::max();
  ConnectionShare connection_share_;
  LoadMeter load_meter_;
  /// Callers' keys identify organisations.
  bool callers_have_keys_ = false;
  CutOffDetector cut_off_detector_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_PROXY_H_
