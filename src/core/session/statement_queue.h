#ifndef CARAWAYHAVEN_CORE_SESSION_STATEMENT_QUEUE_H_
#define CARAWAYHAVEN_CORE_SESSION_STATEMENT_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

/// The statements that wait for an endpoint of one service, in the order in
/// which they are to start: by priority; within a priority, organisations share
/// the endpoints by expected work; within an organisation, short statements
/// precede long ones until they have waited for half of their allowed time.
/// Statements without an organisation share one place and keep their order of
/// arrival. Not thread-safe.
class StatementQueue {
 public:
  using JobPtr = std::shared_ptr<StatementJob>;

  /// Identifies an entry that Next returned.
  struct Position {
    JobPtr job;
    std::size_t line = 0;
    TimePoint received;
    std::uint64_t sequence = 0;
    int length = 0;
  };

  /// Adds a job that is expected to take `cost` on an endpoint. A job may be
  /// queued again while it is in the queue.
  void Add(const JobPtr& job, Duration cost);

  /// Starts a traversal at the first entry. Entries that are added during the
  /// traversal are visited if they belong behind the last one returned.
  void BeginPass(TimePoint now);
  /// Returns the entry to try next, or nothing at the end of the traversal.
  std::optional<Position> Next();
  /// Leaves the organisation's other statements out of the rest of the
  /// traversal: those that need the primary, or those that need none. All
  /// statements without an organisation count as ones that need none.
  void Skip(const OrganisationName& organisation, bool needs_primary);
  /// Removes the entry, whose job has been sent, and charges its organisation.
  void Start(const Position& position);
  /// Removes the entry without a charge.
  void Drop(const Position& position);

  /// Removes all entries of the job.
  void Remove(const JobPtr& job);
  /// Removes the entries for which `predicate` returns true; calls it for each
  /// entry in order of priority.
  void RemoveIf(const std::function<bool(const JobPtr&)>& predicate);
  /// True if `predicate` is true for one of the jobs.
  bool AnyOf(const std::function<bool(const StatementJob&)>& predicate) const;
  /// Returns the number of the organisation's entries.
  std::size_t CountOf(const OrganisationName& organisation) const;
  /// Returns the jobs in order of priority.
  std::vector<JobPtr> Jobs() const;
  void Clear();

  /// Estimates the queueing time of the queued job as the time for which a
  /// comparable job ahead of it has waited; zero if there is none. Jobs of
  /// other organisations are not comparable, nor are longer ones.
  Duration EstimateWait(const StatementJob& job, TimePoint now) const;

  /// Returns when the job is to be refused if it was not sent: at its deadline,
  /// or, if it has an organisation, when less time than its cost is left.
  static TimePoint LastStart(const StatementJob& job, Duration cost);

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

 private:
  struct Key {
    /// Class of the expected cost; zero in the line by arrival.
    int length = 0;
    TimePoint received;
    std::uint64_t sequence = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    JobPtr job;
    Duration cost{0};
    int length = 0;
  };
  using Line = std::map<Key, Entry>;
  /// The statements of one organisation and priority.
  struct Share {
    /// By arrival, short before long; then the same for statements that need
    /// the primary. Those without an organisation are all in the first.
    std::array<Line, 4> lines;
    /// Last key of each line that the traversal returned.
    std::array<std::optional<Key>, 4> visited;
    /// The traversal leaves out the line.
    std::array<bool, 4> skipped{};
    /// Work that the organisation was given, in terms of Level::clock.
    Duration given{0};
    /// A long statement that has aged precedes a short one that has not.
    bool arrival_is_next = true;

    bool empty() const;
    /// Returns the line to continue with, or nothing.
    std::optional<std::size_t> NextLine() const;
  };
  /// The statements of one priority.
  struct Level {
    std::map<OrganisationName, Share> shares;
    /// Value of Share::given of the organisation that was served last.
    Duration clock{0};
  };

  static const std::pair<const Key, Entry>* Unvisited(const Share& share,
                                                      std::size_t line);
  /// Moves statements that have waited for half of their allowed time to the
  /// lines by arrival.
  void OrderAgedByArrival(TimePoint now);
  void Erase(const Position& position, bool charge);
  void Compact();

  std::map<std::uint32_t, Level> levels_;
  /// When the next statement leaves a line by length, or earlier.
  TimePoint next_ageing_ = TimePoint::max();
  std::uint32_t pass_priority_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::size_t size_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_STATEMENT_QUEUE_H_
