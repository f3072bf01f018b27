#ifndef CARAWAYHAVEN_CORE_SESSION_ROUTE_TABLE_H_
#define CARAWAYHAVEN_CORE_SESSION_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

enum class Consistency : std::uint8_t {
  /// Every statement sees all acknowledged commits.
  kPrimary,
  /// Reads may return data as old as the route's `max_age`.
  kBoundedStaleness,
  /// Like kBoundedStaleness, and reads see the session's own commits.
  kReadYourWrites,
};

/// Routing and limits for the sessions of one database.
struct DatabaseRoute {
  ServiceName service;
  Consistency consistency = Consistency::kPrimary;
  /// Maximum age of the data that reads accept; ignored for kPrimary.
  Duration max_age{0};
  /// Time limit of one statement.
  Duration statement_timeout = std::chrono::seconds(1);
  /// Time within which callers expect an operation to complete.
  Duration latency_objective = std::chrono::seconds(1);
  /// Lower values are more urgent; zero is the highest priority.
  std::uint32_t priority = 0;
  /// Callers need no key.
  bool is_public = false;
};

/// Operations that an organisation may run on all VMs together. An operation is
/// a statement outside a transaction, or a whole transaction.
struct OrganisationLimits {
  double rate_per_s = 0;
  double burst = 0;

  friend bool operator==(const OrganisationLimits&,
                         const OrganisationLimits&) = default;
};

struct ServiceLimits {
  /// Maximum number of connections to one endpoint from all VMs together.
  std::uint32_t connections = 20;
  /// Number of replicas that must hold a commit before it is acknowledged.
  std::uint32_t sync_replicas = 0;
};

/// One version of the operator's configuration.
struct RouteTable {
  std::uint64_t version = 0;
  std::map<std::string, DatabaseRoute, std::less<>> databases;
  std::map<ServiceName, ServiceLimits, std::less<>> services;
  /// The configuration lists organisations, so that callers need a key.
  bool has_organisations = false;
  std::map<OrganisationName, OrganisationLimits, std::less<>> organisations;
  /// Organisation of each key. Keys are secret: they appear in no log, metric
  /// or status, and are not sent to endpoints.
  std::map<std::string, OrganisationName, std::less<>> keys;
  /// A transaction that receives no statement for this long may be rolled back.
  Duration transaction_idle_timeout = std::chrono::seconds(3);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ROUTE_TABLE_H_
