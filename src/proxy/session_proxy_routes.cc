#include <utility>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "proxy/logging.h"
#include "proxy/session_proxy.h"
#include "proxy/session_proxy_cluster.h"

// The routes in force, and their distribution to peers.
namespace carawayhaven {
namespace {

constexpr char kRoutesTeam[] = "routes";

}  // namespace

// The version in force never decreases: it is the highest one that was
// received.
void SessionProxy::ApplyRoutes(const std::string& text, std::string_view source,
                               TimePoint now) {
  try {
    const TimePoint started = EventLoop::Now();
    RouteTable table = deps_.documents.DecodeRoutes(text);
    if (table.version <= routes_.version) return;
    const std::chrono::duration<double, std::milli> decode_time =
        EventLoop::Now() - started;
    Log(LogLevel::kInfo, "routes_applied",
        {{"version", table.version},
         {"previous", routes_.version},
         {"source", source},
         {"databases", table.databases.size()},
         {"organisations", table.organisations.size()},
         {"decode_ms", decode_time.count()}});
    routes_ = std::move(table);
    routes_text_ = text;
  } catch (const DecodeError& error) {
    Log(LogLevel::kError, "routes_rejected",
        {{"source", source}, {"error", error.what()}});
    return;
  }
  UpdateConnectionLimits(now);
  CloseUnauthenticatedSessions(now);
  limiter_.SetOrganisations(routes_.organisations, now);
  if (cluster_ == nullptr) return;
  cluster_->failover.SetRoutes(routes_);
  cluster_->digest.value.count = routes_.version;
  // The VMs that run sessions switch to a new version together, as the sessions
  // of one caller may run on several of them. Each data centre has a watcher of
  // its own, so routes from the store are sent within the data centre only.
  if (source == kStoreSource) {
    for (const VmName& vm : cluster_->placement.OtherLocalSessionVms()) {
      SendRoutes(vm);
    }
  }
}

void SessionProxy::CloseUnauthenticatedSessions(TimePoint now) {
  std::size_t closed = 0;
  for (const std::shared_ptr<CallerSession>& session : LiveSessions()) {
    if (session->OnRoutesChanged(now)) continue;
    session->CloseWhenIdle();
    ++closed;
  }
  if (closed == 0) return;
  Log(LogLevel::kInfo, "unauthenticated_sessions_closed",
      {{"version", routes_.version}, {"sessions", closed}});
}

// Only a VM that runs sessions needs evidence.
void SessionProxy::LogConfigEvidence(TimePoint now) {
  if (!active_ || !routes_.has_organisations) return;
  const bool current = config_evidence_.IsCurrent(routes_.version, now);
  if (std::exchange(config_was_current_, current) == current) return;
  Log(current ? LogLevel::kInfo : LogLevel::kWarning,
      current ? "config_evidence_regained" : "config_evidence_lost",
      {{"version", routes_.version}});
}

void SessionProxy::UpdateConnectionLimits(TimePoint now) {
  for (const auto& [service, limits] : routes_.services) {
    router_.SetConnectionLimit(
        service, connection_share_.LimitFor(limits.connections), now);
  }
}

bool SessionProxy::IsInOwnDataCentre(const VmName& vm) const {
  const MemberTable::Member* member = cluster_->membership.table().Find(vm);
  return member != nullptr &&
         member->record.data_centre == settings_.data_centre;
}

// `vm` shows an older version than the one in force here.
void SessionProxy::OfferRoutes(const VmName& vm, std::uint64_t shown) {
  if (exchange_limiter_.IsStuck(vm, shown, EventLoop::Now()) ||
      IsInOwnDataCentre(vm)) {
    SendRoutes(vm);
  }
}

void SessionProxy::RequestRoutes(const VmName& vm, std::uint64_t version,
                                 bool at_once) {
  const TimePoint now = EventLoop::Now();
  const bool stuck =
      exchange_limiter_.IsStuck(settings_.vm, routes_.version, now);
  if (!at_once && !stuck && !IsInOwnDataCentre(vm)) return;
  if (!exchange_limiter_.MayRequest(version, now)) return;
  if (cluster_->peers.Send(
          vm, ConfigRequestMessage{{{kRoutesTeam, routes_.version}}})) {
    exchange_limiter_.OnRequested(version, now);
  }
}

void SessionProxy::SendRoutes(const VmName& vm) {
  const TimePoint now = EventLoop::Now();
  if (routes_.version == 0 ||
      !exchange_limiter_.MaySend(vm, routes_.version, now)) {
    return;
  }
  if (cluster_->peers.Send(vm, ConfigUpdateMessage{kRoutesTeam, routes_.version,
                                                   routes_text_})) {
    exchange_limiter_.OnSent(vm, routes_.version, now);
  }
}

}  // namespace carawayhaven
