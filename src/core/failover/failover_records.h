#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Kind of the proxy's own objects in the store, with the separator.
inline constexpr std::string_view kProxyObjectPrefix = "carawayhaven/";
/// The one object that says which VM grants rights and promotes.
inline constexpr std::string_view kLeaderObjectPath = "carawayhaven/duty";
inline constexpr std::string_view kPrimaryPrefix = "carawayhaven/primary.";
inline constexpr std::string_view kVmPrefix = "carawayhaven/vm.";

/// A process that held the duty.
struct LeaderIdentity {
  VmName leader;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const LeaderIdentity&,
                          const LeaderIdentity&) = default;
};

/// The VM that grants rights to primaries and promotes endpoints.
struct LeaderRecord {
  VmName leader;
  /// Process of the VM.
  std::uint64_t incarnation = 0;
  /// The holder has stopped to grant rights.
  bool resigned = false;
  /// Rises with each write, so that each has a version of its own.
  std::uint64_t writes = 0;
  /// Earlier holders that may still grant rights, as far as this one knows.
  std::vector<LeaderIdentity> active_predecessors;
};

enum class PrimaryPhase : std::uint8_t {
  /// Whoever reads this may use the primary for the duration of a right.
  kServing,
  /// The primary may be replaced once all rights to it have expired.
  kStopping,
  /// The primary was ordered to lead and not seen to do so yet.
  kPromoting,
};

/// The primary of a service, as the duty holder last saw it.
struct PrimaryRecord {
  EndpointName primary;
  Term term = 0;
  PrimaryPhase phase = PrimaryPhase::kServing;
  /// Rises with each write: a write that changed nothing would leave the
  /// version as it is, and an earlier write without an answer could still be
  /// done after it.
  std::uint64_t writes = 0;
};

/// A VM's entry; peers find each other by it.
struct VmEntry {
  DataCentreName data_centre;
  /// "IP:port" for peers.
  std::string address;
  /// New at each start of the process.
  std::string process;
  /// Times that the process lost the duty to another VM. Its entry changes with
  /// each, which tells the successor that it grants no rights any more.
  std::uint64_t leadership_losses = 0;
  bool leaving = false;
};

std::string FormatRecord(const LeaderRecord& record);
std::string FormatRecord(const PrimaryRecord& record);
std::string FormatRecord(const VmEntry& record);

/// Each throws DecodeError when the text is no such record.
LeaderRecord ParseLeaderRecord(std::string_view text);
PrimaryRecord ParsePrimaryRecord(std::string_view text);
VmEntry ParseVmEntry(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_
