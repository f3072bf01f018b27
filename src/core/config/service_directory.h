#ifndef CARAWAYHAVEN_CORE_CONFIG_SERVICE_DIRECTORY_H_
#define CARAWAYHAVEN_CORE_CONFIG_SERVICE_DIRECTORY_H_

#include <string_view>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

struct EndpointConfig;
struct ServiceConfig;

/// An endpoint with the service and the team that declare it.
struct EndpointEntry {
  const EndpointConfig* endpoint = nullptr;
  const ServiceConfig* service = nullptr;
  TeamName team;
};

/// Read access to the services in force. Returned pointers are valid until the
/// next event is delivered to the core. Not thread-safe.
class ServiceDirectory {
 public:
  virtual ~ServiceDirectory() = default;

  /// Returns the service, or null when no team declares it.
  virtual const ServiceConfig* FindService(std::string_view name) const = 0;

  /// Returns the team that declares the service, or an empty name.
  virtual TeamName TeamOf(std::string_view service) const = 0;

  /// Returns the endpoint. `endpoint` of the result is null when no team
  /// declares it.
  virtual EndpointEntry FindEndpoint(std::string_view name) const = 0;

  /// Returns the names of all services in force.
  virtual std::vector<ServiceName> Services() const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_SERVICE_DIRECTORY_H_
