#include "proxy/group_monitor_set.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/group/group_directory.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_message.h"

namespace carawayhaven {
namespace {

// Spreads the calls of all groups over this time.
constexpr Duration kMaxPublishDelay = std::chrono::seconds(2);

}  // namespace

GroupMonitorSet::GroupMonitorSet(const ServiceDirectory& services,
                                 GroupDirectory& groups,
                                 const OwnerResolver& owners,
                                 EndpointLink& link, PeerLink& peers,
                                 PlatformStore& store, std::mt19937_64& random,
                                 GroupMonitorHandler& handler)
    : services_(services),
      groups_(groups),
      owners_(owners),
      link_(link),
      peers_(peers),
      store_(store),
      random_(random),
      handler_(handler) {}

GroupMonitorSet::~GroupMonitorSet() = default;

void GroupMonitorSet::OnOwnershipChanged(TimePoint now) {
  std::erase_if(monitors_, [this, now](const auto& entry) {
    const ServiceConfig* service = services_.FindService(entry.first);
    if (service != nullptr && OwnsEndpointOf(*service)) return false;
    // The monitor may hold the writes for a planned change.
    handler_.ReleaseWrites(entry.first, now);
    return true;
  });
  for (const ServiceName& name : services_.Services()) {
    const ServiceConfig& service = *services_.FindService(name);
    if (!OwnsEndpointOf(service)) continue;
    const auto found = monitors_.find(name);
    if (found != monitors_.end()) {
      found->second->Update(service, now);
      continue;
    }
    monitors_.emplace(name, std::make_unique<GroupMonitor>(
                                service, owners_.self(), link_, peers_, store_,
                                owners_, groups_, random_, handler_));
  }
}

void GroupMonitorSet::OnPeerMessage(const VmName& vm,
                                    const PeerMessage& message, TimePoint now) {
  const auto* update = std::get_if<GroupUpdateMessage>(&message);
  const auto* report = std::get_if<SuspectReportMessage>(&message);
  if (update == nullptr && report == nullptr) return;
  const ServiceName& service =
      update != nullptr ? update->service : report->service;
  const auto found = monitors_.find(service);
  if (found != monitors_.end()) {
    found->second->OnPeerMessage(vm, message, now);
  } else if (update != nullptr) {
    OnAnnouncement(*update, now);
  }
}

void GroupMonitorSet::OnAnnouncement(const GroupUpdateMessage& update,
                                     TimePoint now) {
  const auto found = monitors_.find(update.service);
  if (found != monitors_.end()) {
    found->second->OnPeerMessage(owners_.self(), update, now);
  } else if (groups_.Apply(update)) {
    handler_.OnGroupChanged(update, now);
  }
}

void GroupMonitorSet::OnStoreRestored(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> delay(0,
                                                     kMaxPublishDelay.count());
  for (const auto& [name, view] : groups_.views()) {
    // The first term of a group is declared, not recorded.
    if (view.term <= 1) continue;
    const auto [publisher, added] = publishers_.try_emplace(
        name, store_, random_,
        [this](const GroupUpdateMessage& stored) { found_.push_back(stored); });
    publisher->second.Publish({name, view.term, view.primary, view.term_starts},
                              Duration(delay(random_)), now);
  }
}

void GroupMonitorSet::StartPlannedChanges(
    const std::function<bool(const EndpointName&)>& leaves, TimePoint now) {
  for (const auto& [name, monitor] : monitors_) {
    const ServiceConfig* service = services_.FindService(name);
    if (service == nullptr) continue;
    const EndpointName& primary = groups_.ViewOf(*service).primary;
    const EndpointEntry entry = services_.FindEndpoint(primary);
    const bool declared_leaving =
        entry.endpoint != nullptr && entry.endpoint->leaving;
    if (declared_leaving || leaves(primary)) monitor->RequestPlannedChange(now);
  }
}

void GroupMonitorSet::Tick(TimePoint now) {
  for (auto& [name, publisher] : publishers_) publisher.Tick(now);
  std::erase_if(publishers_,
                [](const auto& entry) { return entry.second.done(); });
  for (const GroupUpdateMessage& stored : std::exchange(found_, {})) {
    OnAnnouncement(stored, now);
  }
  for (const auto& [name, monitor] : monitors_) monitor->Tick(now);
}

TimePoint GroupMonitorSet::NextTick() const {
  if (!found_.empty()) return TimePoint::min();
  TimePoint next = TimePoint::max();
  for (const auto& [name, publisher] : publishers_) {
    next = std::min(next, publisher.NextTick());
  }
  for (const auto& [name, monitor] : monitors_) {
    next = std::min(next, monitor->NextTick());
  }
  return next;
}

bool GroupMonitorSet::OwnsEndpointOf(const ServiceConfig& service) const {
  return std::any_of(
      service.endpoints.begin(), service.endpoints.end(),
      [this](const EndpointConfig& endpoint) {
        const std::vector<VmName> owners = owners_.OwnersOf(endpoint, 1);
        return !owners.empty() && owners.front() == owners_.self();
      });
}

}  // namespace carawayhaven
