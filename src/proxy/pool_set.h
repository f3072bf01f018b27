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

/// The pools of the endpoints that this VM owns, or that other VMs believe it
/// to own. Not thread-safe; one loop, one thread.
class PoolSet : public EndpointPoolHandler {
 public:
  /// A primary that leaves still takes work for this time, in which a planned
  /// change moves the primary. With the time for the configuration or the
  /// answer to arrive it stays below the 2 s after which an endpoint that
  /// leaves gets nothing new.
  static constexpr Duration kLeavingPrimaryGracePeriod =
      std::chrono::milliseconds(1500);
  /// Time after which a pool that this VM no longer owns is closed if idle.
  static constexpr Duration kSweepInterval = std::chrono::seconds(1);

  /// All arguments must outlive the set.
  PoolSet(const ServiceDirectory& services, GroupDirectory& groups,
          const OwnerResolver& owners, EndpointLink& link, PeerLink& peers,
          const Tracing& tracing, Duration drain_timeout);
  ~PoolSet() override;

  /// Submits the request to the endpoint's pool and replies to `from`.
  void OnForward(const VmName& from, const ForwardMessage& message,
                 TimePoint now);

  /// Opens the pools of the endpoints that this VM owns, so that connections
  /// are there before the first request, and retires those it lost. Also takes
  /// changed addresses and sizes. To be called when the configuration or the
  /// membership has changed.
  void OnOwnershipChanged(TimePoint now);

  /// Raises the term of the service's pools.
  void OnGroupChanged(std::string_view service, Term term);

  /// Holds or releases new writes of the service (planned change of primary).
  void HoldWrites(std::string_view service, TimePoint now);
  void ReleaseWrites(std::string_view service, TimePoint now);
  bool WritesInFlight(std::string_view service) const;

  /// Open connections to the endpoint may have gone silent.
  void OnConnectionsSilent(std::string_view endpoint, TimePoint now);

  /// True when the endpoint's configuration or one of its answers says that it
  /// leaves.
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
    /// What the pool was made from; a pool with other settings is replaced.
    EndpointPoolOptions options;
    bool owned = false;
    bool marked_unused = false;
    /// When the endpoint was first known to leave.
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
  std::vector<std::unique_ptr<EndpointPool>> replaced_pools_;
  TimePoint next_sweep_;
  bool draining_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_POOL_SET_H_
