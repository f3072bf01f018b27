#include "proxy/status_json.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "proxy/proxy_status.h"

namespace carawayhaven {
namespace {

using Json = nlohmann::ordered_json;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Json PoolToJson(const PoolStatus& pool) {
  return {{"slots", pool.slots},
          {"running", pool.running},
          {"waiting", pool.waiting},
          {"open_connections", pool.open_connections},
          {"open_transactions", pool.open_transactions},
          {"breaker_open", pool.breaker_open}};
}

Json EndpointToJson(const GroupEndpointStatus& endpoint) {
  Json json = {{"name", endpoint.name},
               {"address", endpoint.address},
               {"data_centre", endpoint.data_centre},
               {"role", endpoint.is_primary ? "primary" : "replica"},
               {"leaving", endpoint.leaving},
               {"owner", endpoint.owner}};
  if (endpoint.observed_ago) {
    json["position"] = {{"term", endpoint.position.term},
                        {"index", endpoint.position.index}};
    json["lag_ms"] = Milliseconds(endpoint.lag);
    json["observed_ago_ms"] = Milliseconds(*endpoint.observed_ago);
  }
  if (endpoint.pool) json["pool"] = PoolToJson(*endpoint.pool);
  return json;
}

Json GroupToJson(const GroupStatus& group) {
  Json endpoints = Json::array();
  for (const GroupEndpointStatus& endpoint : group.endpoints) {
    endpoints.push_back(EndpointToJson(endpoint));
  }
  return {{"service", group.service},
          {"team", group.team},
          {"term", group.term},
          {"primary", group.primary},
          {"endpoints", std::move(endpoints)}};
}

Json MemberToJson(const VmRecord& member) {
  return {{"vm", member.vm},
          {"data_centre", member.data_centre},
          {"address", member.address},
          {"incarnation", member.incarnation},
          {"state", VmStateName(member.state)}};
}

}  // namespace

std::string_view VmStateName(VmState state) {
  switch (state) {
    case VmState::kAlive:
      return "alive";
    case VmState::kLeaving:
      return "leaving";
    case VmState::kSuspected:
      return "suspected";
    case VmState::kDead:
      return "dead";
  }
  return "dead";
}

std::string FormatStatusJson(const ProxyStatus& status) {
  Json json = {{"vm", status.vm},
               {"data_centre", status.data_centre},
               {"region", status.region},
               {"version", status.build_version},
               {"uptime_ms", Milliseconds(status.uptime)},
               {"leaving", status.leaving},
               {"sessions", status.sessions},
               {"requests_in_flight", status.requests_in_flight},
               {"store_reachable", status.store_reachable},
               {"teams", Json::array()},
               {"groups", Json::array()},
               {"members", Json::array()}};
  for (const TeamVersion& team : status.teams) {
    json["teams"].push_back({{"team", team.team}, {"version", team.version}});
  }
  for (const GroupStatus& group : status.groups) {
    json["groups"].push_back(GroupToJson(group));
  }
  for (const VmRecord& member : status.members) {
    json["members"].push_back(MemberToJson(member));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace carawayhaven
