#ifndef CARAWAYHAVEN_PROXY_PLATFORM_DOCUMENTS_H_
#define CARAWAYHAVEN_PROXY_PLATFORM_DOCUMENTS_H_

#include <string>
#include <string_view>

#include "core/platform_store.h"
#include "core/session/endpoint_record.h"
#include "core/session/route_table.h"

namespace carawayhaven {

/// Decodes the documents that other components keep in the platform's store.
class PlatformDocuments {
 public:
  virtual ~PlatformDocuments() = default;

  /// Prefix and path of the operator's configuration, which contains the
  /// routes.
  virtual std::string_view routes_prefix() const = 0;
  virtual std::string_view routes_path() const = 0;
  /// Prefix of the entries that the endpoints write about themselves.
  virtual std::string_view endpoints_prefix() const = 0;

  /// Both throw DecodeError when the input is not a valid document.
  virtual RouteTable DecodeRoutes(std::string_view text) const = 0;
  virtual EndpointRecord DecodeEndpoint(const StoredObject& object) const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PLATFORM_DOCUMENTS_H_
