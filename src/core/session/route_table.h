#ifndef CARAWAYHAVEN_CORE_SESSION_ROUTE_TABLE_H_
#define CARAWAYHAVEN_CORE_SESSION_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

enum class Consistency : std::uint8_t {
  /// All statements see all acknowledged commits.
  kPrimary,
  /// Reads may be as old as the route's age.
  kBoundedStaleness,
  /// The same, and reads see the session's own commits.
  kReadYourWrites,
};

/// How the sessions of one database are served.
struct DatabaseRoute {
  ServiceName service;
  Consistency consistency = Consistency::kPrimary;
  /// Greatest age of the data that reads accept; not for kPrimary.
  Duration max_age{0};
  /// Limit on one statement.
  Duration statement_timeout = std::chrono::seconds(1);
  /// Time in which callers expect a whole operation.
  Duration latency_objective = std::chrono::seconds(1);
  /// Zero is the most urgent.
  std::uint32_t priority = 0;
};

struct ServiceLimits {
  /// Connections that an endpoint accepts from all VMs together.
  std::uint32_t connections = 20;
  /// Replicas that hold a commit before it is acknowledged.
  std::uint32_t sync_replicas = 0;
};

/// One version of the operator's configuration.
struct RouteTable {
  std::uint64_t version = 0;
  std::map<std::string, DatabaseRoute, std::less<>> databases;
  std::map<ServiceName, ServiceLimits, std::less<>> services;
  /// A transaction without a statement for this long may be ended.
  Duration transaction_idle_timeout = std::chrono::seconds(3);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ROUTE_TABLE_H_
