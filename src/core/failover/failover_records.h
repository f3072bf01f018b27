#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Kind of the proxy's own objects in the store, with the separator.
inline constexpr std::string_view kOwnPrefix = "carawayhaven/";
/// The one object that says which VM grants rights and promotes.
inline constexpr std::string_view kDutyPath = "carawayhaven/duty";
inline constexpr std::string_view kPrimaryPrefix = "carawayhaven/primary.";
inline constexpr std::string_view kVmPrefix = "carawayhaven/vm.";

/// The VM that grants rights to primaries and promotes endpoints.
struct DutyRecord {
  VmName holder;
  /// Process of the VM.
  std::uint64_t incarnation = 0;
  /// The holder has stopped to grant rights.
  bool resigned = false;
  /// Rises with each promotion, so that each has a version of its own.
  std::uint64_t promotions = 0;
};

/// The primary of a service after its first promotion.
struct PrimaryRecord {
  EndpointName primary;
  /// The promotion was ordered and not seen to have taken effect yet.
  bool promoting = false;
};

/// A VM's entry; peers find each other by it.
struct VmEntry {
  DataCentreName data_centre;
  /// "IP:port" for peers.
  std::string address;
  /// New at each start of the process.
  std::string process;
  bool leaving = false;
};

std::string FormatRecord(const DutyRecord& record);
std::string FormatRecord(const PrimaryRecord& record);
std::string FormatRecord(const VmEntry& record);

/// Each throws DecodeError when the text is no such record.
DutyRecord ParseDutyRecord(std::string_view text);
PrimaryRecord ParsePrimaryRecord(std::string_view text);
VmEntry ParseVmEntry(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_
