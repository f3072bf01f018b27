#ifndef CARAWAYHAVEN_PROXY_PROXY_PROCESS_H_
#define CARAWAYHAVEN_PROXY_PROXY_PROCESS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "carawayhaven/time.h"
#include "core/config/config_distributor.h"
#include "core/config/config_store.h"
#include "core/config/config_submitter.h"
#include "core/group/group_directory.h"
#include "core/group/group_monitor.h"
#include "core/membership/membership.h"
#include "core/peer_link.h"
#include "core/route/request_router.h"
#include "net/caller_server.h"
#include "net/endpoint_connector.h"
#include "net/http_server.h"
#include "net/peer_transport.h"
#include "net/platform_client.h"
#include "proxy/admin_api.h"
#include "proxy/group_monitor_set.h"
#include "proxy/pool_set.h"
#include "proxy/prefix_watcher.h"
#include "proxy/proxy_admin.h"
#include "proxy/settings.h"
#include "proxy/span_sink.h"
#include "proxy/tracing.h"

namespace carawayhaven {

class EventLoop;

/// A proxy process: connects the core with the network. Not thread-safe; all
/// calls must come from the thread of the event loop.
class ProxyProcess : public PeerEvents,
                     public CallerHandler,
                     public GroupMonitorHandler {
 public:
  /// Starts to listen. `loop` must outlive the process. Throws NetworkError
  /// when it cannot listen on an address.
  ProxyProcess(EventLoop& loop, const Settings& settings);
  ~ProxyProcess() override;

  /// Accepts no new work, completes the work in flight, then stops the loop.
  /// Open transactions have the `drain_timeout` of the settings to finish.
  void Drain();

 private:
  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now) override;
  void OnPeerLost(const VmName& vm, TimePoint now) override;
  void OnCallerRequest(Request request, CallerResponder respond) override;
  void OnTransactionAbandoned(const ServiceName& service,
                              const TransactionId& transaction) override;

  void OnGroupChanged(const GroupUpdateMessage& update, TimePoint now) override;
  void OnPromotionCompleted(const GroupUpdateMessage& update) override;
  void HoldWrites(const ServiceName& service, TimePoint now) override;
  void ReleaseWrites(const ServiceName& service, TimePoint now) override;
  bool WritesInFlight(const ServiceName& service) override;
  void OnConnectionsSilent(const EndpointName& endpoint,
                           TimePoint now) override;

  void OnVmList(const std::vector<StoredObject>& objects);
  void OnGroupList(const std::vector<StoredObject>& objects);

  /// Runs at the end of each round (iteration of the event loop): does the work
  /// that is due, and what depends on a changed configuration or membership.
  void OnRound();
  void ApplyChanges(TimePoint now);
  bool HasPendingChanges() const;
  void FailForwardsToLostVms(TimePoint now);
  void LogPeerStates();
  void LogConfigurations();
  void LogStoreState();
  bool IsWatcher() const;
  void StopWhenIdle();
  void StopWhenAnswered();

  EventLoop& loop_;
  Settings settings_;
  std::uint64_t incarnation_;
  std::mt19937_64 random_;
  StreamSpanSink span_sink_;
  Tracing tracing_;
  EndpointConnector endpoints_;
  PlatformClient platform_;
  PeerTransport peers_;
  ConfigStore configs_;
  Membership membership_;
  ConfigDistributor distributor_;
  ConfigSubmitter submitter_;
  PrefixWatcher vm_watcher_;
  PrefixWatcher group_watcher_;
  GroupDirectory groups_;
  RequestRouter router_;
  PoolSet pools_;
  GroupMonitorSet group_monitors_;
  ProxyAdmin admin_;
  AdminApi admin_api_;
  HttpServer admin_server_;
  std::unique_ptr<CallerServer> callers_;
  TimePoint next_leaving_check_;
  TimePoint next_change_check_;
  TimePoint next_wakeup_ = TimePoint::max();
  std::uint64_t applied_revision_ = 0;
  ConfigDigest applied_digest_;
  std::map<VmName, VmState> logged_peers_;
  struct LoggedConfig {
    std::uint64_t version = 0;
    std::uint64_t highest_seen = 0;
  };
  std::map<TeamName, LoggedConfig> logged_configs_;
  std::map<ServiceName, Term> logged_terms_;
  bool logged_store_reachable_ = true;
  /// Suspected or dead VMs whose forwards in flight the router has given up.
  std::set<VmName> lost_vms_;
  bool draining_ = false;
  TimePoint drain_deadline_ = TimePoint::max();
  /// What the callers had received at the last check of the drain, and the
  /// number of checks since that changed.
  std::uint64_t delivered_bytes_ = 0;
  int stalled_checks_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PROXY_PROCESS_H_
