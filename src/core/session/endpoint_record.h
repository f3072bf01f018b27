#ifndef CARAWAYHAVEN_CORE_SESSION_ENDPOINT_RECORD_H_
#define CARAWAYHAVEN_CORE_SESSION_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// What an endpoint says of itself in the registry.
struct EndpointRecord {
  EndpointName name;
  ServiceName service;
  /// "IP:port".
  std::string address;
  DataCentreName data_centre;
  std::uint32_t slots = 1;
  /// It is about to stop and wants no new work.
  bool leaving = false;
  /// It believes to be the primary.
  bool claims_primary = false;
  /// Wall-clock start of its process in ms; changes with each start.
  std::uint64_t started_ms = 0;

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ENDPOINT_RECORD_H_
