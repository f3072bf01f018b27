#ifndef CARAWAYHAVEN_PROXY_GROUP_MONITOR_SET_H_
#define CARAWAYHAVEN_PROXY_GROUP_MONITOR_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/group/group_announcer.h"
#include "core/group/group_monitor.h"
#include "core/peer_message.h"

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

  /// To be called when the store was restored from a copy, which may lack the
  /// newest terms. Writes the known terms to the store again where it has a
  /// lower one or none.
  void OnStoreRestored(TimePoint now);

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
  /// Publish the terms that a restored store may lack; removed when done.
  std::map<ServiceName, GroupRecordPublisher, std::less<>> publishers_;
  /// Higher terms that the publishers found in the store.
  std::vector<GroupUpdateMessage> found_;
  std::map<ServiceName, std::unique_ptr<GroupMonitor>, std::less<>> monitors_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_GROUP_MONITOR_SET_H_
