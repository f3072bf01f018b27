#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/address.h"
#include "proxy/logging.h"
#include "proxy/session_proxy.h"
#include "proxy/session_proxy_cluster.h"
#include "proxy/session_proxy_watchers.h"

// Session placement: whether this VM runs sessions, and to which VMs it relays
// them.
namespace carawayhaven {
namespace {

// Number of relay targets in the own data centre and in other data centres. The
// remote one is for a data centre that is cut off from the leader.
constexpr std::size_t kLocalRelayTargets = 2;
constexpr std::size_t kRemoteRelayTargets = 1;

}  // namespace

bool SessionProxy::CanRunSessions() const {
  return active_ && routes_.version > 0 && !router_.endpoints().empty() &&
         routes_watcher_->object_watcher().synced_at() >= active_since_ &&
         endpoints_watcher_->object_watcher().synced_at() >= active_since_;
}

bool SessionProxy::IsReady() const {
  if (drain_started_ != TimePoint::max() || cluster_ == nullptr ||
      !cluster_->failover.listed()) {
    return false;
  }
  if (CanRunSessions()) return !IsCutOff();
  return !cluster_->placement.RelayTargets(1, 0).empty();
}

bool SessionProxy::AcceptsRelayed() const {
  return CanRunSessions() && !IsCutOff();
}

TimePoint SessionProxy::store_answered_at() const {
  return cluster_ == nullptr ? TimePoint()
                             : cluster_->failover.store_answered_at();
}

// When a VM is cut off, its idle sessions are closed, so that their callers
// reconnect to VMs that may still have leases.
void SessionProxy::CheckPrimaryLeases(TimePoint now) {
  const auto& leases = router_.leases().all();
  const bool any_valid = std::any_of(
      leases.begin(), leases.end(),
      [now](const auto& entry) { return entry.second.expires > now; });
  const bool was_cut_off = IsCutOff();
  const bool cut_off = cut_off_detector_.Update(
      {any_valid || !CanRunSessions(), store_answered_at()}, now);
  if (cut_off == was_cut_off) return;
  Log(cut_off ? LogLevel::kWarning : LogLevel::kInfo,
      cut_off ? "cut_off_from_primaries" : "primaries_regained",
      {{"vm", settings_.vm}, {"services", leases.size()}});
  if (cut_off) CloseIdleSessions("cut_off");
}

std::vector<std::shared_ptr<CallerSession>> SessionProxy::LiveSessions() const {
  std::vector<std::shared_ptr<CallerSession>> live;
  for (const auto& weak : sessions_) {
    std::shared_ptr<CallerSession> session = weak.lock();
    if (session != nullptr && !session->disconnected()) {
      live.push_back(std::move(session));
    }
  }
  return live;
}

void SessionProxy::CloseIdleSessions(std::string_view reason) {
  std::size_t closed = 0;
  for (const std::shared_ptr<CallerSession>& session : LiveSessions()) {
    if (!session->IsIdle()) continue;
    session->CloseWhenIdle();
    ++closed;
  }
  if (closed == 0) return;
  Log(LogLevel::kInfo, "idle_sessions_closed",
      {{"vm", settings_.vm}, {"reason", reason}, {"sessions", closed}});
}

std::string SessionProxy::RelayAddressOf(const std::string& peer_address) {
  const Address address = ParseAddress(peer_address);
  if (address.port == std::numeric_limits<std::uint16_t>::max()) {
    throw NetworkError(error_messages::kMalformedAddress + peer_address);
  }
  return address.ip + ':' + std::to_string(address.port + 1);
}

// An overloaded session VM relays new sessions only to one that is not, and is
// itself the last target, so that the caller is served if no relay works.
std::optional<std::vector<std::string>> SessionProxy::RelayAddresses(
    std::string_view key) {
  if (cluster_ == nullptr || !cluster_->failover.listed()) return std::nullopt;
  const SessionPlacement& placement = cluster_->placement;
  const bool runs_here = placement.IsSessionVm() && CanRunSessions();
  const bool is_overloaded = placement.IsOverloaded(settings_.vm);
  std::vector<std::string> addresses;
  if (runs_here && !is_overloaded) {
    CountPlacement("own");
    return addresses;
  }
  if (!callers_have_keys_) key = {};
  // An overloaded session VM does not use other data centres.
  const std::vector<VmName> targets =
      runs_here ? placement.RelayTargets(
                      placement.OtherLocalSessionVms().size(), 0, key)
                : placement.RelayTargets(kLocalRelayTargets,
                                         kRemoteRelayTargets, key);
  if (runs_here &&
      (targets.empty() || placement.IsOverloaded(targets.front()))) {
    CountPlacement("own");
    return addresses;
  }
  for (const VmName& vm : targets) {
    const MemberTable::Member* member = cluster_->membership.table().Find(vm);
    if (member == nullptr) continue;
    try {
      addresses.push_back(RelayAddressOf(member->record.address));
    } catch (const NetworkError&) {
      // The entry of this VM is not one of a proxy.
      continue;
    }
  }
  if (runs_here && !addresses.empty()) {
    addresses.push_back(RelayAddressOf(settings_.peer_address));
  }
  if (addresses.empty() && !CanRunSessions()) {
    CountPlacement("refused");
    return std::nullopt;
  }
  if (addresses.empty()) {
    CountPlacement("own");
  } else if (runs_here) {
    CountPlacement("overload");
  } else {
    CountPlacement(key.empty() ? "hash" : "key");
  }
  return addresses;
}

void SessionProxy::CountPlacement(std::string_view reason) {
  metrics_
      .GetCounter("carawayhaven_sessions_placed_total",
                  "New sessions of callers by the reason of their place",
                  {{"reason", std::string(reason)}})
      .Increment();
}

// A VM without a known capacity reports no load: its sessions are placed as in
// earlier releases.
void SessionProxy::UpdateLoad(TimePoint now) {
  load_meter_.EndWindow();
  cluster_->membership.SetOwnReport(entry_.capacity ? load_meter_.load_ms() : 0,
                                    routes_.has_organisations);
  callers_have_keys_ = cluster_->placement.HasOrganisations();
  const MemberTable& table = cluster_->membership.table();
  for (const VmName& vm : cluster_->placement.UpdateOverload(now)) {
    const MemberTable::Member* member = table.Find(vm);
    const VmRecord& record = member == nullptr ? table.self() : member->record;
    const bool overloaded = cluster_->placement.IsOverloaded(vm);
    Log(overloaded ? LogLevel::kWarning : LogLevel::kInfo,
        overloaded ? "session_vm_overloaded" : "session_vm_recovered",
        {{"session_vm", vm}, {"load_ms", record.load_ms}});
  }
}

void SessionProxy::UpdatePlacement(TimePoint now) {
  FailoverManager& failover = cluster_->failover;
  if (!failover.listed()) return;
  placed_ = true;
  const std::size_t vms = cluster_->placement.TotalSessionVmCount();
  if (connection_share_.SetVmCount(vms, now)) UpdateConnectionLimits(now);
  failover.SetCandidates(cluster_->placement.AllSessionVms());
  UpdateLimiter(now);
  const SessionActivity::State activity =
      activity_.Update({cluster_->placement.IsSessionVm(),
                        failover.is_leader(now), LiveSessions().size()},
                       now);
  if (activity == SessionActivity::State::kDraining) {
    CloseIdleSessions("not_selected");
  }
  const bool active = activity != SessionActivity::State::kInactive;
  if (std::exchange(active_, active) != active) {
    Log(LogLevel::kInfo, "session_placement",
        {{"runs_sessions", active}, {"session_vms", vms}});
    if (active) {
      // Routes and endpoints that were read before may be outdated.
      active_since_ = now;
      routes_watcher_->object_watcher().Relist(now);
      endpoints_watcher_->object_watcher().Relist(now);
    }
    if (!active) router_.CloseIdleConnections(now);
  }
  failover.SetActive(active);
  // One VM per data centre watches the routes and the proxies' own objects in
  // the store on behalf of the other VMs; these objects change rarely.
  failover.SetWatchesStoreForPeers(
      cluster_->placement.IsFirstSessionVmInDataCentre());
}

void SessionProxy::UpdateLimiter(TimePoint now) {
  if (!routes_.has_organisations) return;
  const std::vector<VmName> vms = cluster_->placement.AllSessionVms();
  std::vector<LendingPeer> peers;
  for (const VmName& vm : vms) {
    const MemberTable::Member* member = cluster_->membership.table().Find(vm);
    if (member == nullptr || IsSuspectedOrDead(member->record.state)) continue;
    peers.push_back({vm, IsInOwnDataCentre(vm)});
  }
  limiter_.SetSessionVms(vms, peers, now);
}

}  // namespace carawayhaven
