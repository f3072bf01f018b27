#ifndef CARAWAYHAVEN_CORE_FAILOVER_REPLICA_SELECTION_H_
#define CARAWAYHAVEN_CORE_FAILOVER_REPLICA_SELECTION_H_

#include <cstdint>
#include <optional>
#include <span>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"

namespace carawayhaven {

/// What is known of the log of a replica whose primary is to be replaced.
struct ReplicaLog {
  EndpointName endpoint;
  /// A position that the log has reached, or nothing if none is known.
  std::optional<LogPosition> reached;
  /// The end of the log, or nothing if it is not known. The replica has
  /// acknowledged no commit beyond it.
  std::optional<LogPosition> end;
  /// The replica may be promoted.
  bool is_candidate = false;
};

/// True if a log with this end contains the commit at `position`. A log of a
/// newer term that has fewer commits is still being received.
bool Contains(LogPosition end, LogPosition position);

struct ReplicaSelection {
  /// The candidate to promote, or null if no log of a candidate is known.
  const ReplicaLog* best = nullptr;
  /// The log of `best` contains every commit that the old primary has
  /// acknowledged, as far as each waited for `sync_replicas` replicas.
  bool is_complete = false;
  /// A replica that may hold commits that `best` lacks, or null.
  const ReplicaLog* unmatched = nullptr;
};

/// Selects a candidate with a complete log if there is one, and otherwise the
/// one with the longest known log. `replicas` are all replicas that may hold
/// commits of the old primary. A log that reaches `log_end`, the end of the old
/// primary's own log if it is known, is complete. With zero `sync_replicas`,
/// every log is: commits were acknowledged without a replica.
ReplicaSelection SelectReplica(std::span<const ReplicaLog> replicas,
                               std::uint32_t sync_replicas,
                               std::optional<LogPosition> log_end);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_REPLICA_SELECTION_H_
