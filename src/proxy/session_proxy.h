#ifndef CARAWAYHAVEN_PROXY_SESSION_PROXY_H_
#define CARAWAYHAVEN_PROXY_SESSION_PROXY_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/config/object_watcher.h"
#include "core/failover/failover_manager.h"
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

/// The outside of a session proxy. All outlive the proxy.
struct SessionProxyDependencies {
  EventLoop& loop;
  PlatformStore& store;
  PromotionService& promotions;
  SessionLink& link;
  /// Sends what was queued on the link; called at the end of each round.
  std::function<void()> flush_link;
  CallerListener& callers;
  /// Accepts sessions that peers relay.
  CallerListener& relayed_callers;
  const PlatformDocuments& documents;
  BoundedOutput& log_output;
};

/// One proxy for callers with sessions: joins the core with the network. It
/// keeps nothing that must last; the routes, the endpoints and the proxy's own
/// records are in the platform's store. Not thread-safe; one loop, one thread.
class SessionProxy : public PeerEvents, public SessionFactory {
 public:
  /// Starts to listen for peers and for questions about readiness. Throws
  /// NetworkError when an address cannot be listened on.
  SessionProxy(const SessionProxyDependencies& deps, const Settings& settings);
  ~SessionProxy() override;
  SessionProxy(const SessionProxy&) = delete;
  SessionProxy& operator=(const SessionProxy&) = delete;

  /// Stops to be ready, ends what is in flight, then stops the loop, within the
  /// grace time of the settings.
  void Drain();
  /// The settings file may have changed.
  void OnReload(const SettingsLoader& reload);

  std::shared_ptr<CallerSession> CreateSession(CallerChannel& channel) override;
  std::optional<std::vector<std::string>> RelayAddresses() override;
  bool AcceptsRelayed() const override;

  /// Address on which a proxy accepts sessions from its peers: the port after
  /// the one for their messages.
  static std::string RelayAddressOf(const std::string& peer_address);

 private:
  // Source of routes that did not come from a peer.
  static constexpr std::string_view kStoreSource = "store";
  // Sessions and transactions are looked at this often while the VM drains.
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

  void SendRoutes(const VmName& vm);
  void RequestRoutes(const VmName& vm);
  void RegisterVm();
  void OnRegistered(ObjectVersion version);
  void ApplyRoutes(const std::string& text, std::string_view source,
                   TimePoint now);
  void UpdateConnectionLimits(TimePoint now);
  void OnRound();
  void ResetLinksToLostPeers();
  void UpdatePlacement(TimePoint now);
  void CheckPrimaryLeases(TimePoint now);
  std::vector<std::shared_ptr<CallerSession>> LiveSessions() const;
  /// Closes sessions between two operations; their callers reconnect.
  void CloseIdleSessions(TimePoint now);
  /// No right to any primary has been valid for a while.
  bool IsCutOff() const { return cut_off_; }
  /// True when sessions may run here with routes that are not outdated.
  bool CanRunSessions() const;
  void EndIdleTransactions(TimePoint now);
  void TickDrain(TimePoint now);
  bool IsReady() const;

  SessionProxyDependencies deps_;
  Settings settings_;
  std::mt19937_64 random_;
  Metrics metrics_;
  SessionLog log_;
  SessionRouter router_;
  RouteTable routes_;
  std::string routes_text_;
  std::unique_ptr<RoutesWatcher> routes_watcher_;
  std::unique_ptr<EndpointsWatcher> endpoints_watcher_;
  /// Peers and failover; exists once this VM is registered.
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
  /// This VM follows the store and may run sessions.
  bool active_ = true;
  TimePoint active_since_;
  SessionActivity activity_;
  TimePoint drain_started_ = TimePoint::max();
  bool stopping_ = false;
  TimePoint next_wakeup_ = TimePoint::max();
  ConnectionShare connection_share_;
  /// When a right to some primary was last valid, or no session ran here.
  TimePoint last_valid_lease_at_;
  bool cut_off_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_PROXY_H_
