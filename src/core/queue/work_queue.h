#ifndef CARAWAYHAVEN_CORE_QUEUE_WORK_QUEUE_H_
#define CARAWAYHAVEN_CORE_QUEUE_WORK_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/queue/queue_policy.h"
#include "core/queue/work.h"

namespace carawayhaven {

/// Identifies queued work. Zero is not a valid id.
using WorkId = std::uint64_t;

/// Determines which queued work may start at present.
struct Eligibility {
  /// A connection is free for work that does not have one of its own.
  bool connection_free = true;
  /// New writes are not held back.
  bool writes_allowed = true;
};

/// Work that waits for a slot, in three classes: short, long and unknown cost.
/// Within a class the teams are served by deficit round robin, weighted by
/// expected cost, and the work of one team in order of arrival. All operations
/// take O(log n) in the number of requests and O(n) in the number of teams. Not
/// thread-safe.
class WorkQueue {
 public:
  explicit WorkQueue(const QueuePolicy& policy) : policy_(policy) {}

  /// Returns true when the queue or the team's share of it is full.
  bool IsFull(const TeamName& team) const;

  /// Adds work to the class `work.work_class`.
  WorkId Push(Work work);

  /// Removes and returns the next work of the class that may start, or nothing.
  std::optional<Work> Pop(WorkClass work_class, const Eligibility& eligible);

  /// Returns the work of the class that has waited longest among that which may
  /// start, or null.
  const Work* Oldest(WorkClass work_class, const Eligibility& eligible) const;

  /// Removes and returns the work; returns nothing when it is not queued.
  std::optional<Work> Remove(WorkId id);

  /// Removes and returns the oldest work of unknown cost whose statement text
  /// is frequent, unless a statement with the same fingerprint is in `running`.
  std::optional<Work> PopFrequentUnknownCost(
      const Eligibility& eligible, std::span<const std::uint64_t> running);

  /// Removes and returns the work whose deadline is at or before `now`.
  std::vector<Work> TakeExpired(TimePoint now);

  /// Removes and returns the work of unknown cost with that fingerprint.
  std::vector<Work> TakeUnknownCostWork(std::uint64_t fingerprint);

  /// Removes and returns all work that needs a free connection, in order of
  /// arrival.
  std::vector<Work> TakeAllNeedingConnection();

  /// Returns the earliest deadline; TimePoint::max() when the queue is empty.
  TimePoint NextDeadline() const;

  /// Estimates the cost of the queued work of the class that runs before a new
  /// request of the team. Counts for each team at most the cost that the
  /// requesting team has queued itself.
  Duration BacklogBefore(WorkClass work_class, const TeamName& team) const;

  /// Returns the expected cost of all work of the class.
  Duration Backlog(WorkClass work_class) const;

  /// Corrects the team's deficit by the `difference` between the actual and the
  /// expected cost of a statement. Does nothing when the team has no queued
  /// work.
  void CorrectDeficit(WorkClass work_class, const TeamName& team,
                      Duration difference);

  std::size_t size() const { return entries_.size(); }
  std::size_t size(WorkClass work_class) const;

  /// Returns the number of requests that may start except that they need a
  /// connection of the pool.
  std::size_t WaitingForConnection(bool writes_allowed) const;

 private:
  struct Entry {
    WorkId id = 0;
    Work work;
  };
  /// Work of one team in one class. Each lane holds the work with the same
  /// start conditions, so that work that cannot start yet does not block other
  /// work of the team.
  struct TeamQueue {
    TeamName team;
    std::array<std::list<Entry>, 4> lanes;
    Duration backlog{0};
    Duration deficit{0};
    std::size_t count = 0;
  };
  struct ClassQueue {
    std::map<TeamName, TeamQueue> teams;
    std::list<TeamQueue*> ring;
    std::size_t count = 0;
  };
  struct EntryLocation {
    WorkClass work_class;
    TeamQueue* team;
    std::size_t lane;
    std::list<Entry>::iterator entry;
  };

  static std::size_t LaneOf(const Work& work);
  static std::optional<std::size_t> EligibleLane(const TeamQueue& team,
                                                 const Eligibility& eligible);
  TeamName TeamKey(const TeamName& team) const;
  const ClassQueue& QueueOf(WorkClass work_class) const;
  ClassQueue& QueueOf(WorkClass work_class);
  Work Extract(const EntryLocation& location);
  void AddUnknownCost(WorkId id, std::uint64_t fingerprint);
  void RemoveUnknownCost(WorkId id, std::uint64_t fingerprint);

  QueuePolicy policy_;
  std::array<ClassQueue, 3> classes_;
  std::unordered_map<WorkId, EntryLocation> entries_;
  std::unordered_map<std::uint64_t, std::set<WorkId>> unknown_cost_work_;
  /// Fingerprints of frequent statement texts that have queued work of unknown
  /// cost.
  std::set<std::uint64_t> frequent_fingerprints_;
  std::set<std::pair<TimePoint, WorkId>> deadlines_;
  std::map<TeamName, std::size_t> team_sizes_;
  std::array<std::size_t, 4> lane_sizes_{};
  WorkId next_id_ = 1;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_WORK_QUEUE_H_
