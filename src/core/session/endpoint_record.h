#ifndef CARAWAYHAVEN_CORE_SESSION_ENDPOINT_RECORD_H_
#define CARAWAYHAVEN_CORE_SESSION_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// An endpoint's own entry in the registry.
struct EndpointRecord {
  EndpointName name;
  ServiceName service;
  /// "IP:port".
  std::string address;
  DataCentreName data_centre;
  std::uint32_t slots = 1;
  /// The endpoint is about to stop and accepts no new work.
  bool leaving = false;
  /// The endpoint reports that it is the primary; not authoritative.
  bool claims_primary = false;
  /// Wall-clock start time of its process in ms; differs after each restart.
  std::uint64_t started_ms = 0;
  /// Era of the registry when the record was read; rises each time the registry
  /// is restored from a copy.
  std::uint64_t registry_era = 0;

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ENDPOINT_RECORD_H_
