#ifndef CARAWAYHAVEN_PROXY_GROUP_MONITOR_SET_H_
#define CARAWAYHAVEN_PROXY_GROUP_MONITOR_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/group/group_monitor.h"

namespace carawayhaven {

class EndpointLink;
class GroupDirectory;
class OwnerResolver;
class PeerLink;
class PlatformStore;
class ServiceDirectory;

/// The monitors of the groups of which this VM owns an endpoint. A VM monitors
/// only these, so that its work does not grow with the number of databases of
/// the whole fleet. Not thread-safe; all calls must come from the thread of the
/// event loop.
class GroupMonitorSet {
 public:
  /// All arguments must outlive the set.
  GroupMonitorSet(const ServiceDirectory& services, GroupDirectory& groups,
                  const OwnerResolver& owners, EndpointLink& link,
                  PeerLink& peers, PlatformStore& store,
                  std::mt19937_64& random, GroupMonitorHandler& handler);
  ~GroupMonitorSet();

  /// Creates and destroys monitors to match the groups in which this VM owns an
  /// endpoint. To be called when the configuration or the membership has
  /// changed.
  void OnOwnershipChanged(TimePoint now);

  /// Processes SuspectReport and GroupUpdate messages and ignores all other
  /// messages. An update of a group that is not monitored here is only applied
  /// to the group directory; a report about such a group is dropped.
  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now);

  /// Processes the record of a group that was read from the store.
  void OnAnnouncement(const GroupUpdateMessage& update, TimePoint now);

  /// Requests a planned change of primary for each monitored group whose
  /// primary is leaving, according to the configuration or to `leaves`.
  void StartPlannedChanges(
      const std::function<bool(const EndpointName&)>& leaves, TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextTick() const;

 private:
  bool OwnsEndpointOf(const ServiceConfig& service) const;

  const ServiceDirectory& services_;
  GroupDirectory& groups_;
  const OwnerResolver& owners_;
  EndpointLink& link_;
  PeerLink& peers_;
  PlatformStore& store_;
  std::mt19937_64& random_;
  GroupMonitorHandler& handler_;
  std::map<ServiceName, std::unique_ptr<GroupMonitor>, std::less<>> monitors_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_GROUP_MONITOR_SET_H_
