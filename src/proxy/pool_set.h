#ifndef CARAWAYHAVEN_PROXY_POOL_SET_H_
#define CARAWAYHAVEN_PROXY_POOL_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/peer_message.h"
#include "core/queue/endpoint_pool.h"
#include "core/queue/forward_filter.h"

namespace carawayhaven {

class EndpointLink;
class GroupDirectory;
class OwnerResolver;
class PeerLink;
class ServiceDirectory;
class Tracing;

/// The pools of the endpoints that this VM owns, or that other VMs consider it
/// to own. Not thread-safe; all calls must come from the thread of the event
/// loop.
class PoolSet : public EndpointPoolHandler {
 public:
  /// Time for which a leaving primary still accepts new work, while a planned
  /// change moves the primary to another endpoint. Together with the time for
  /// the configuration or the answer to arrive it stays below 2 s, after which
  /// a leaving endpoint must get no new work.
  static constexpr Duration kLeavingPrimaryGracePeriod =
      std::chrono::milliseconds(1500);
  /// Time between two sweeps. A pool that this VM does not own is closed when
  /// two successive sweeps find it idle.
  static constexpr Duration kSweepInterval = std::chrono::seconds(1);

  /// All arguments must outlive the set.
  PoolSet(const ServiceDirectory& services, GroupDirectory& groups,
          const OwnerResolver& owners, EndpointLink& link, PeerLink& peers,
          const Tracing& tracing, Duration drain_timeout);
  ~PoolSet() override;

  /// Submits the request to the endpoint's pool and sends the reply to `from`.
  /// Ignores messages that ForwardFilter does not accept.
  void OnForward(const VmName& from, const ForwardMessage& message,
                 TimePoint now);

  /// Opens the pools of the endpoints that this VM owns, so that connections
  /// exist before the first request, and marks the pools that it no longer
  /// owns, which the sweeps close when they are idle. Also applies changed
  /// addresses and pool sizes. To be called when the configuration or the
  /// membership has changed.
  void OnOwnershipChanged(TimePoint now);

  /// Sets the term of the service's pools.
  void OnGroupChanged(std::string_view service, Term term);

  /// Queues new writes of the service, or lets them run again (planned change
  /// of primary).
  void HoldWrites(std::string_view service, TimePoint now);
  void ReleaseWrites(std::string_view service, TimePoint now);
  bool WritesInFlight(std::string_view service) const;

  /// To be called when open connections to the endpoint may have gone silent,
  /// without a close, while new connections work.
  void OnConnectionsSilent(std::string_view endpoint, TimePoint now);

  /// True when the configuration or the latest answer of the endpoint marks it
  /// as leaving.
  bool IsLeaving(std::string_view endpoint) const;

  /// Returns the endpoint's pool, or null when this VM has none.
  const EndpointPool* Find(std::string_view endpoint) const;

  void Drain(TimePoint now);
  bool idle() const;

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  /// Calls `visit` for each pool.
  void ForEach(const std::function<void(const EndpointName&,
                                        const EndpointPool&)>& visit) const;

 private:
  struct Entry {
    std::unique_ptr<EndpointPool> pool;
    ServiceName service;
    /// Options of the pool; when they change, the pool is replaced.
    EndpointPoolOptions options;
    bool owned = false;
    /// The last sweep found the pool idle and not owned.
    bool marked_unused = false;
    /// Time at which the endpoint was first known to be leaving.
    std::optional<TimePoint> leaving_since;
  };

  void OnEndpointAnswer(const EndpointName& endpoint,
                        const EndpointAnswer& answer, TimePoint now) override;
  std::shared_ptr<void> TraceStatement(const EndpointName& endpoint,
                                       const Request& request) override;
  Entry* FindOrCreate(std::string_view endpoint, TimePoint now);
  bool RefusesNewWork(const EndpointName& name, const Entry& entry,
                      TimePoint now) const;
  void SetLeaving(Entry& entry, bool leaving, TimePoint now) const;
  EndpointPoolOptions OptionsFor(std::string_view endpoint) const;

  const ServiceDirectory& services_;
  GroupDirectory& groups_;
  const OwnerResolver& owners_;
  EndpointLink& link_;
  PeerLink& peers_;
  const Tracing& tracing_;
  Duration drain_timeout_;
  ForwardFilter filter_;
  std::map<EndpointName, Entry, std::less<>> pools_;
  /// Replaced pools that still have work in flight.
  std::vector<std::unique_ptr<EndpointPool>> replaced_;
  TimePoint next_sweep_;
  bool draining_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_POOL_SET_H_
