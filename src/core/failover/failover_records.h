#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"

namespace carawayhaven {

/// Path prefix of the proxy's own objects in the store.
inline constexpr std::string_view kProxyObjectPrefix = "carawayhaven/";
/// The leader object, a LeaderRecord.
inline constexpr std::string_view kLeaderObjectPath = "carawayhaven/duty";
inline constexpr std::string_view kPrimaryPrefix = "carawayhaven/primary.";
inline constexpr std::string_view kVmPrefix = "carawayhaven/vm.";

/// A process that is or was the leader.
struct LeaderIdentity {
  VmName leader;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const LeaderIdentity&,
                          const LeaderIdentity&) = default;
};

/// Names the leader: the VM that grants primary leases and promotes endpoints.
struct LeaderRecord {
  VmName leader;
  /// Number of the process on that VM.
  std::uint64_t incarnation = 0;
  /// The leader has stopped granting leases.
  bool resigned = false;
  /// Incremented with each write: a write that changed nothing would not get a
  /// new version.
  std::uint64_t writes = 0;
  /// Earlier leaders that may still grant leases, as far as this leader knows.
  /// An empty name stands for any leader whose record the store has lost.
  std::vector<LeaderIdentity> active_predecessors;
  /// Era of the store in which the record was written. Absent in records of
  /// earlier releases.
  std::optional<std::uint64_t> era;
};

enum class PrimaryPhase : std::uint8_t {
  /// A VM that reads this may use the primary until kPrimaryLeaseDuration after
  /// it sent the read.
  kServing,
  /// The primary may be replaced once all leases for it have expired.
  kStopping,
  /// The endpoint is being promoted and has not been seen as primary yet.
  kPromoting,
};

/// A process of a replica. A process that starts again under the same name may
/// have lost its log.
struct ReplicaProcess {
  /// Empty for any number of replicas that are not known.
  EndpointName endpoint;
  /// As EndpointRecord::started_ms.
  std::uint64_t started_ms = 0;

  friend auto operator<=>(const ReplicaProcess&,
                          const ReplicaProcess&) = default;
};

/// The primary of a service, as the leader last saw it.
struct PrimaryRecord {
  EndpointName primary;
  Term term = 0;
  PrimaryPhase phase = PrimaryPhase::kServing;
  /// Incremented with each write: a write that changed nothing would leave the
  /// version as it is, and an earlier write that got no answer could still take
  /// effect after it.
  std::uint64_t writes = 0;
  /// As LeaderRecord::era.
  std::optional<std::uint64_t> era;
  /// While `primary` is being promoted, the endpoint that it replaces; empty if
  /// that is not known.
  EndpointName replaced;
  /// The replicas that may hold commits which were acknowledged by the primary
  /// (by `replaced` during a promotion), ascending. Absent if that was not
  /// recorded, as without synchronous replicas.
  std::optional<std::vector<ReplicaProcess>> replicas = std::nullopt;
  /// The position by which the primary, when it was chosen, held all commits
  /// that were acknowledged before: a log that has not reached it may lack some
  /// of them. Absent where `replicas` is.
  std::optional<LogPosition> base = std::nullopt;
  /// While `primary` is being promoted, the EndpointRecord::started_ms of the
  /// process that was chosen. Absent where `replicas` is.
  std::optional<std::uint64_t> chosen_started_ms = std::nullopt;
};

/// A VM's entry in the store, by which peers find each other.
struct VmEntry {
  DataCentreName data_centre;
  /// "IP:port" for peers.
  std::string address;
  /// Identifier that is new at each start of the process.
  std::string process;
  /// How often the process lost or gave up leadership. Each increment gives the
  /// entry a new version, which tells the successor that the process grants no
  /// leases any more.
  std::uint64_t leadership_losses = 0;
  bool leaving = false;
  /// Thousandths of a core, greater than zero. Absent if it is not known, as in
  /// entries of earlier releases.
  std::optional<std::uint32_t> capacity = std::nullopt;
};

std::string FormatRecord(const LeaderRecord& record);
std::string FormatRecord(const PrimaryRecord& record);
std::string FormatRecord(const VmEntry& record);

/// Each throws DecodeError when the text is malformed.
LeaderRecord ParseLeaderRecord(std::string_view text);
PrimaryRecord ParsePrimaryRecord(std::string_view text);
VmEntry ParseVmEntry(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_RECORDS_H_
