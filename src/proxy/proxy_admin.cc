#include "proxy/proxy_admin.h"

#include <utility>
#include <vector>

#include "core/config/config_distributor.h"
#include "core/config/config_store.h"
#include "core/config/config_submitter.h"
#include "core/config/team_config.h"
#include "core/config/team_object.h"
#include "core/group/group_directory.h"
#include "core/membership/membership.h"
#include "core/route/request_router.h"
#include "net/caller_server.h"
#include "net/event_loop.h"
#include "net/peer_transport.h"
#include "net/platform_client.h"
#include "proxy/build_version.h"
#include "proxy/pool_set.h"
#include "proxy/proxy_status.h"
#include "proxy/settings.h"
#include "proxy/tracing.h"

namespace carawayhaven {
namespace {

void IncreaseTo(Counter& counter, std::uint64_t total) {
  if (total > counter.value()) counter.Increment(total - counter.value());
}

PoolStatus StatusOfPool(const EndpointPool& pool, std::uint32_t slots) {
  const PoolStats stats = pool.stats();
  PoolStatus status;
  status.slots = slots;
  status.running = static_cast<std::uint32_t>(stats.running);
  status.waiting =
      static_cast<std::uint32_t>(stats.queued_short + stats.queued_long);
  status.open_connections = static_cast<std::uint32_t>(stats.connections);
  status.open_transactions =
      static_cast<std::uint32_t>(stats.open_transactions);
  status.breaker_open = stats.breaker_open;
  return status;
}

}  // namespace

ProxyAdmin::ProxyAdmin(const ProxyAdminDependencies& deps,
                       std::function<void()> drain)
    : deps_(deps),
      drain_(std::move(drain)),
      started_at_(EventLoop::Now()),
      proxy_metrics_(metrics_) {}

void ProxyAdmin::RecordAppliedVersions(TimePoint now) {
  for (const auto& [name, team] : deps_.configs.teams()) {
    if (team.version == 0) continue;
    std::deque<AppliedVersion>& versions = applied_versions_[name];
    if (!versions.empty() && versions.front().version == team.version) continue;
    versions.push_front({team.version, now});
    if (versions.size() > kMaxAppliedVersions) versions.pop_back();
  }
}

ProxyStatus ProxyAdmin::Status() const {
  ProxyStatus status;
  status.vm = deps_.settings.vm;
  status.data_centre = deps_.settings.data_centre;
  status.region = deps_.settings.region;
  status.build_version = kBuildVersion;
  status.uptime = EventLoop::Now() - started_at_;
  status.leaving = leaving_;
  if (callers_ != nullptr) {
    status.sessions = static_cast<std::uint32_t>(callers_->sessions());
  }
  status.requests_in_flight =
      static_cast<std::uint32_t>(deps_.router.in_flight());
  status.store_reachable = deps_.platform.reachable();
  for (const auto& [name, team] : deps_.configs.teams()) {
    status.teams.push_back({name, team.version});
  }
  for (const ServiceName& name : deps_.configs.Services()) {
    status.groups.push_back(StatusOf(*deps_.configs.FindService(name)));
  }
  status.members.push_back(deps_.membership.table().self());
  for (const auto& [name, member] : deps_.membership.table().members()) {
    status.members.push_back(member.record);
  }
  return status;
}

GroupStatus ProxyAdmin::StatusOf(const ServiceConfig& service) const {
  const GroupView& view = deps_.groups.ViewOf(service);
  GroupStatus status;
  status.service = service.name;
  status.team = deps_.configs.TeamOf(service.name);
  status.term = view.term;
  status.primary = view.primary;
  for (const EndpointConfig& config : service.endpoints) {
    GroupEndpointStatus endpoint;
    endpoint.name = config.name;
    endpoint.address = config.address;
    endpoint.data_centre = config.data_centre;
    endpoint.leaving = config.leaving || deps_.pools.IsLeaving(config.name);
    endpoint.is_primary = config.name == view.primary;
    const std::vector<VmName> owners = deps_.membership.OwnersOf(config, 1);
    if (!owners.empty()) endpoint.owner = owners.front();
    if (const auto* observation = deps_.groups.ObservationOf(config.name)) {
      endpoint.position = observation->position;
      endpoint.lag = observation->age;
      endpoint.observed_ago = EventLoop::Now() - observation->observed_at;
    }
    if (const EndpointPool* pool = deps_.pools.Find(config.name)) {
      endpoint.pool = StatusOfPool(*pool, service.slots);
    }
    status.endpoints.push_back(std::move(endpoint));
  }
  return status;
}

Readiness ProxyAdmin::CheckReadiness() const {
  if (leaving_) return {false, "the proxy is leaving"};
  if (deps_.configs.Services().empty()) {
    return {false,
            "no configuration yet: neither the store nor a peer gave one"};
  }
  return {true, ""};
}

std::string ProxyAdmin::MetricsText() const {
  RefreshMetrics();
  RefreshPoolMetrics();
  return metrics_.FormatPrometheus();
}

std::optional<TeamDocument> ProxyAdmin::FindTeam(std::string_view team) const {
  const ConfigStore::Team* found = deps_.configs.FindTeam(team);
  if (found == nullptr || found->version == 0) return std::nullopt;
  const auto object = TeamObject::Parse(found->value);
  if (!object) return std::nullopt;
  TeamDocument document{object->text, found->version, {}};
  const auto applied_versions = applied_versions_.find(team);
  if (applied_versions != applied_versions_.end()) {
    for (const AppliedVersion& version : applied_versions->second) {
      document.applied_versions.push_back(
          {version.version, EventLoop::Now() - version.applied_at});
    }
  }
  return document;
}

void ProxyAdmin::Submit(const TeamName& team, const std::string& text,
                        ObjectVersion based_on, SubmitCallback done) {
  deps_.submitter.Submit(team, text, based_on, std::move(done),
                         EventLoop::Now());
}

void ProxyAdmin::Resolve(const ServiceName& service, const std::string& id,
                         ResolveCallback done) {
  const TimePoint now = EventLoop::Now();
  Request request;
  request.kind = RequestKind::kResolve;
  request.service = service;
  request.id.value = id;
  request.deadline = now + deps_.settings.default_timeout;
  deps_.router.Submit(std::move(request), std::move(done), now);
}

void ProxyAdmin::RefreshMetrics() const {
  ProxyMetrics& metrics = proxy_metrics_;
  if (callers_ != nullptr) {
    metrics.sessions.Set(static_cast<double>(callers_->sessions()));
    IncreaseTo(metrics.refused_sessions, callers_->stats().sessions_refused);
    IncreaseTo(metrics.malformed_messages, callers_->stats().invalid_messages);
  }
  metrics.requests_in_flight.Set(static_cast<double>(deps_.router.in_flight()));
  IncreaseTo(metrics.malformed_frames, deps_.peers.stats().malformed_frames);
  IncreaseTo(metrics.late_answers, deps_.router.stats().dropped_replies);
  metrics.live_peers.Set(static_cast<double>(deps_.membership.Peers().size()));
  IncreaseTo(metrics.config_updates, deps_.distributor.counters().applied);
  IncreaseTo(metrics.dropped_spans, deps_.tracing.dropped_spans());
  const auto total = [this](std::string_view name, std::string_view help,
                            std::uint64_t value) {
    IncreaseTo(metrics_.GetCounter(name, help), value);
  };
  const RequestRouterStats& router = deps_.router.stats();
  total("carawayhaven_retries_total", "Attempts after the first one.",
        router.retries);
  total("carawayhaven_retries_refused_total", "Retries refused by the budget.",
        router.retries_refused);
  total("carawayhaven_resolves_total", "Resolves sent for unknown verdicts.",
        router.resolves);
  total("carawayhaven_peer_bytes_sent_total", "Bytes sent to other proxies.",
        deps_.peers.stats().bytes_sent);
  total("carawayhaven_peer_bytes_received_total",
        "Bytes received from other proxies.",
        deps_.peers.stats().bytes_received);
  total("carawayhaven_store_calls_total",
        "Calls of the platform's store; a waiting watch is one.",
        deps_.platform.calls());
}

void ProxyAdmin::RefreshPoolMetrics() const {
  deps_.pools.ForEach([this](const EndpointName& name,
                             const EndpointPool& pool) {
    const PoolStats stats = pool.stats();
    const MetricLabels labels = {{"endpoint", name}};
    const auto set = [this, &labels](std::string_view metric,
                                     std::string_view help, std::size_t value) {
      metrics_.GetGauge(metric, help, labels).Set(static_cast<double>(value));
    };
    const auto raise = [this, &labels](std::string_view metric,
                                       std::string_view help,
                                       std::uint64_t value) {
      IncreaseTo(metrics_.GetCounter(metric, help, labels), value);
    };
    set("carawayhaven_pool_queued_short", "Short requests that wait.",
        stats.queued_short);
    set("carawayhaven_pool_queued_long", "Long requests that wait.",
        stats.queued_long);
    set("carawayhaven_pool_running", "Statements on the endpoint.",
        stats.running);
    set("carawayhaven_pool_connections", "Open connections.",
        stats.connections);
    set("carawayhaven_pool_transactions", "Open transactions.",
        stats.open_transactions);
    set("carawayhaven_pool_awaiting_confirmation",
        "Requests that ran and wait for a replica.",
        stats.awaiting_confirmation);
    set("carawayhaven_pool_breaker_open",
        "1 while no connections are opened after failures.",
        stats.breaker_open ? 1 : 0);
    raise("carawayhaven_pool_refused_total",
          "Requests refused early or at a queue limit.", stats.refused);
    raise("carawayhaven_pool_expired_total",
          "Requests whose deadline passed in the queue.",
          stats.expired_in_queue);
    raise("carawayhaven_pool_confirmed_total",
          "Requests released by a confirmation.", stats.confirmed);
    raise("carawayhaven_pool_unconfirmed_total",
          "Requests that ended without their confirmation.", stats.unconfirmed);
    raise("carawayhaven_pool_stray_answers_total",
          "Answers of the endpoint without a request.", stats.stray_answers);
    raise("carawayhaven_pool_silent_connections_total",
          "Connections closed because they went silent.",
          stats.silent_connections);
    raise("carawayhaven_pool_reclaimed_transactions_total",
          "Idle transactions ended under demand.",
          stats.reclaimed_transactions);
  });
}

}  // namespace carawayhaven
