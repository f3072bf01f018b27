#ifndef CARAWAYHAVEN_PROXY_PROXY_ADMIN_H_
#define CARAWAYHAVEN_PROXY_PROXY_ADMIN_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "carawayhaven/time.h"
#include "proxy/admin_backend.h"
#include "proxy/metrics.h"
#include "proxy/proxy_metrics.h"

namespace carawayhaven {

class CallerServer;
class ConfigDistributor;
class ConfigStore;
class ConfigSubmitter;
class RequestRouter;
class GroupDirectory;
class Membership;
class PeerTransport;
class PlatformClient;
class PoolSet;
class ServiceDirectory;
class Tracing;
struct EndpointConfig;
struct GroupStatus;
struct ServiceConfig;
struct Settings;

/// The components of a proxy that the admin API reports on or controls.
struct ProxyAdminDependencies {
  const Settings& settings;
  const ConfigStore& configs;
  const ConfigDistributor& distributor;
  ConfigSubmitter& submitter;
  const Membership& membership;
  GroupDirectory& groups;
  RequestRouter& router;
  const PoolSet& pools;
  const PeerTransport& peers;
  const PlatformClient& platform;
  const Tracing& tracing;
};

/// Serves the admin API from the components of the process. Not thread-safe;
/// all calls must come from the thread of the event loop.
class ProxyAdmin : public AdminBackend {
 public:
  /// Number of applied versions that are kept per team.
  static constexpr std::size_t kMaxAppliedVersions = 16;

  /// All dependencies must outlive the object. `drain` starts the graceful
  /// shutdown.
  ProxyAdmin(const ProxyAdminDependencies& deps, std::function<void()> drain);

  /// Sets the server of the callers. Until then, the admin API reports no
  /// sessions.
  void SetCallers(const CallerServer& callers) { callers_ = &callers; }
  void SetLeaving() { leaving_ = true; }

  /// Records the versions of the configurations in force. To be called when
  /// they have changed.
  void RecordAppliedVersions(TimePoint now);

  ProxyMetrics& metrics() { return proxy_metrics_; }

  ProxyStatus Status() const override;
  Readiness CheckReadiness() const override;
  std::string MetricsText() const override;
  std::optional<TeamDocument> FindTeam(std::string_view team) const override;
  void Submit(const TeamName& team, const std::string& text,
              ObjectVersion based_on, SubmitCallback done) override;
  void Drain() override { drain_(); }
  void Resolve(const ServiceName& service, const std::string& id,
               ResolveCallback done) override;

 private:
  struct AppliedVersion {
    ObjectVersion version = 0;
    TimePoint applied_at;
  };

  GroupStatus StatusOf(const ServiceConfig& service) const;
  void RefreshMetrics() const;
  void RefreshPoolMetrics() const;

  ProxyAdminDependencies deps_;
  std::function<void()> drain_;
  const CallerServer* callers_ = nullptr;
  TimePoint started_at_;
  bool leaving_ = false;
  std::map<TeamName, std::deque<AppliedVersion>, std::less<>> applied_versions_;
  // Mutable, as gauges and totals are copied from the components when the
  // metrics are read.
  mutable Metrics metrics_;
  mutable ProxyMetrics proxy_metrics_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PROXY_ADMIN_H_
