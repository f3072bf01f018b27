#include "core/failover/replica_selection.h"

namespace carawayhaven {

bool Contains(LogPosition end, LogPosition position) {
  return end >= position && end.index >= position.index;
}

namespace {

ReplicaSelection Assess(const ReplicaLog& candidate,
                        std::span<const ReplicaLog> replicas,
                        std::uint32_t sync_replicas,
                        std::optional<LogPosition> log_end) {
  ReplicaSelection selection{&candidate, true, nullptr};
  const bool has_all = log_end && Contains(*candidate.reached, *log_end);
  if (sync_replicas == 0 || has_all) return selection;
  // A commit that the candidate lacks is held by `sync_replicas` others. If
  // fewer logs are unknown, it is in a known one, which then is longer.
  std::uint32_t unknown = 0;
  for (const ReplicaLog& other : replicas) {
    if (&other == &candidate) continue;
    if (!other.end) {
      ++unknown;
    } else if (*other.end <= *candidate.reached) {
      continue;
    } else {
      selection.is_complete = false;
    }
    selection.unmatched = &other;
  }
  if (unknown >= sync_replicas) selection.is_complete = false;
  if (selection.is_complete) selection.unmatched = nullptr;
  return selection;
}

}  // namespace

ReplicaSelection SelectReplica(std::span<const ReplicaLog> replicas,
                               std::uint32_t sync_replicas,
                               std::optional<LogPosition> log_end) {
  ReplicaSelection best;
  for (const ReplicaLog& replica : replicas) {
    if (!replica.is_candidate || !replica.reached) continue;
    const ReplicaSelection selection =
        Assess(replica, replicas, sync_replicas, log_end);
    const bool better = best.best == nullptr ||
                        selection.is_complete > best.is_complete ||
                        (selection.is_complete == best.is_complete &&
                         *replica.reached > *best.best->reached);
    if (better) best = selection;
  }
  if (best.best == nullptr && !replicas.empty()) {
    best.unmatched = &replicas.front();
  }
  return best;
}

}  // namespace carawayhaven
