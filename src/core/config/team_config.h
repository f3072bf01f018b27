#ifndef CARAWAYHAVEN_CORE_CONFIG_TEAM_CONFIG_H_
#define CARAWAYHAVEN_CORE_CONFIG_TEAM_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// When a write is acknowledged to the caller.
enum class AcknowledgeMode {
  /// After a replica has confirmed its log position.
  kReplica,
  /// After the primary has committed the write. A failover can lose the newest
  /// writes.
  kPrimary,
};

/// One endpoint of a service, as declared by its team.
struct EndpointConfig {
  EndpointName name;
  /// "IP:port".
  std::string address;
  DataCentreName data_centre;
  bool leaving = false;

  friend bool operator==(const EndpointConfig&,
                         const EndpointConfig&) = default;
};

/// One service and the group of endpoints behind it. The first endpoint is the
/// primary of term 1.
struct ServiceConfig {
  ServiceName name;
  AcknowledgeMode acknowledge = AcknowledgeMode::kReplica;
  /// Maximum number of statements that an endpoint executes concurrently.
  std::uint32_t slots = 3;
  /// Maximum number of connections that an endpoint accepts.
  std::uint32_t connections = 20;
  std::vector<EndpointConfig> endpoints;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// The content of a team's text.
struct TeamConfig {
  TeamName team;
  std::vector<ServiceConfig> services;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_TEAM_CONFIG_H_
