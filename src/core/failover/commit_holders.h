#ifndef CARAWAYHAVEN_CORE_FAILOVER_COMMIT_HOLDERS_H_
#define CARAWAYHAVEN_CORE_FAILOVER_COMMIT_HOLDERS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"
#include "core/failover/failover_records.h"

namespace carawayhaven {

/// The replica processes that may hold commits which a primary has
/// acknowledged. The primary record keeps them for later leaders: a process
/// that has ended may be gone from the registry, and its commits may be nowhere
/// else. Not thread-safe.
class CommitHolders {
 public:
  struct Holder {
    ReplicaProcess process;
    /// When the process was first seen to have ended; max() while it runs.
    TimePoint ended_at = TimePoint::max();
    /// When another process was first seen under its name; max() for never.
    TimePoint restarted_at = TimePoint::max();
    /// The primary was not used any more by then.
    bool restarted_after_withdrawal = false;
    /// An upper bound of the positions that an ended process has acknowledged,
    /// or nothing if none is known.
    std::optional<LogPosition> last_acknowledged = std::nullopt;

    /// True if this stands for any number of processes that are not known.
    bool IsUnknown() const { return process.endpoint.empty(); }
  };

  /// Takes the holders from the record. Without a record that names them they
  /// are unknown, unless the primary has never been used (`is_first`).
  void Load(const PrimaryRecord* record, bool is_first);
  /// Processes that are not known may hold commits as well.
  void AddUnknown() { Add({}); }
  void Add(const ReplicaProcess& process);
  /// The endpoint is the primary. A new one holds all commits that were
  /// acknowledged before, and they are in each log that reaches `base`.
  void SetPrimary(const EndpointName& primary, LogPosition base);
  /// As PrimaryRecord::base.
  LogPosition base() const { return base_; }
  /// Updates which processes run. `is_withdrawn`: the primary is not used any
  /// more.
  void SetRunning(std::span<const ReplicaProcess> running, bool is_withdrawn,
                  TimePoint now);
  /// The primary had the position at `as_of` or later. What a process that had
  /// ended by then has acknowledged is not beyond it.
  void OnPrimaryPosition(LogPosition position, TimePoint as_of);
  /// Removes the ended processes whose commits all are in the logs of at least
  /// `sync_replicas` others. `reached` are positions that the logs of running
  /// holders have reached.
  void RemoveMatched(std::span<const LogPosition> reached,
                     std::uint32_t sync_replicas);

  /// The holder, or null if the process is none.
  const Holder* Find(const ReplicaProcess& process) const;
  /// True if a process has ended whose commits may be in no other log.
  bool HasEnded() const;
  const std::vector<Holder>& holders() const { return holders_; }
  /// The processes, ascending.
  std::vector<ReplicaProcess> processes() const;

 private:
  /// Empty while it is not known.
  EndpointName primary_;
  LogPosition base_;
  /// Ascending by process.
  std::vector<Holder> holders_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_COMMIT_HOLDERS_H_
