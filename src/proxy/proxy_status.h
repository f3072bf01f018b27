#ifndef CARAWAYHAVEN_PROXY_PROXY_STATUS_H_
#define CARAWAYHAVEN_PROXY_PROXY_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// State of the pool of an endpoint; known only to its owner.
struct PoolStatus {
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t open_connections = 0;
  std::uint32_t open_transactions = 0;
  /// True while the circuit breaker prevents new connections.
  bool breaker_open = false;
};

struct GroupEndpointStatus {
  EndpointName name;
  std::string address;
  DataCentreName data_centre;
  bool leaving = false;
  bool is_primary = false;
  /// VM that owns the pool according to this proxy; empty when no VM that could
  /// own it is alive.
  VmName owner;
  /// Log position and age of the data at the last observation.
  LogPosition position;
  Duration lag{0};
  /// Time since the last observation; absent when there was none.
  std::optional<Duration> observed_ago;
  /// Present when this proxy has a pool of the endpoint.
  std::optional<PoolStatus> pool;
};

struct GroupStatus {
  ServiceName service;
  TeamName team;
  Term term = 0;
  EndpointName primary;
  std::vector<GroupEndpointStatus> endpoints;
};

/// What GET /status reports about a proxy.
struct ProxyStatus {
  VmName vm;
  DataCentreName data_centre;
  std::string region;
  std::string build_version;
  Duration uptime{0};
  bool leaving = false;
  std::uint32_t sessions = 0;
  std::uint32_t requests_in_flight = 0;
  bool store_reachable = false;
  std::vector<TeamVersion> teams;
  std::vector<GroupStatus> groups;
  std::vector<VmRecord> members;
};

/// Returns the name of the state in the admin API and in log lines.
std::string_view VmStateName(VmState state);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PROXY_STATUS_H_
