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

/// Identifies queued work. Zero is invalid.
using WorkId = std::uint64_t;

/// Which work may start now.
struct Eligibility {
  /// A connection is free for work that does not have its own.
  bool connection_free = true;
  /// New writes are not held back.
  bool writes_allowed = true;
};

/// Work that waits for a slot: a short, a long and a trial class, in each of
/// them deficit round robin between teams by expected cost, first in, first out
/// within a team. All operations take O(log n) in the number of requests and
/// O(n) in the number of teams. Not thread-safe.
class WorkQueue {
 public:
  explicit WorkQueue(const QueuePolicy& policy) : policy_(policy) {}

  /// True when the queue, or the team's part of it, is full.
  bool IsFull(const TeamName& team) const;

  /// Adds work to the class that `work.work_class` names.
  WorkId Push(Work work);

  /// Removes and returns the next work of the class that may start.
  std::optional<Work> Pop(WorkClass work_class, const Eligibility& eligible);

  /// Returns the longest waiting work of the class that may start, or null.
  const Work* Oldest(WorkClass work_class, const Eligibility& eligible) const;

  /// Removes the work; nothing when it is not queued.
  std::optional<Work> Remove(WorkId id);

  /// Removes and returns the oldest first run of a frequent text, unless its
  /// fingerprint is one of those in `running`.
  std::optional<Work> PopFrequentUnknownCost(
      const Eligibility& eligible, std::span<const std::uint64_t> running);

  /// Removes and returns what has reached its deadline.
  std::vector<Work> TakeExpired(TimePoint now);

  /// Removes and returns the work of the trial class with that fingerprint.
  std::vector<Work> TakeUnknownCostWork(std::uint64_t fingerprint);

  /// Removes and returns all work that needs a free connection.
  std::vector<Work> TakeAllNeedingConnection();

  /// Time of the first deadline; TimePoint::max() when empty.
  TimePoint NextDeadline() const;

  /// Returns the cost of the work of this class that runs before a new request
  /// of the team: of each team, no more than the team itself has queued.
  Duration BacklogBefore(WorkClass work_class, const TeamName& team) const;

  /// Returns the cost of all work of the class.
  Duration Backlog(WorkClass work_class) const;

  /// Corrects the team's deficit when a statement's cost was misjudged.
  void Charge(WorkClass work_class, const TeamName& team, Duration difference);

  std::size_t size() const { return entries_.size(); }
  std::size_t size(WorkClass work_class) const;

  /// Number of requests that wait for a connection of the pool and may start.
  std::size_t WaitingForConnection(bool writes_allowed) const;

 private:
  struct Entry {
    WorkId id = 0;
    Work work;
  };
  /// Work of one team in one class; lanes by what the work needs to start, so
  /// that work that has to wait does not block other work of the team.
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
  struct Place {
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
  Work Extract(const Place& place);
  void AddUnknownCostWork(WorkId id, std::uint64_t fingerprint);
  void RemoveUnknownCostWork(WorkId id, std::uint64_t fingerprint);

  QueuePolicy policy_;
  std::array<ClassQueue, 3> classes_;
  std::unordered_map<WorkId, Place> entries_;
  std::unordered_map<std::uint64_t, std::set<WorkId>> trials_;
  /// Fingerprints of frequent texts that wait for a first run.
  std::set<std::uint64_t> frequent_;
  std::set<std::pair<TimePoint, WorkId>> deadlines_;
  std::map<TeamName, std::size_t> team_sizes_;
  std::array<std::size_t, 4> lane_sizes_{};
  WorkId next_id_ = 1;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_WORK_QUEUE_H_
