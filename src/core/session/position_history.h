#ifndef CARAWAYHAVEN_CORE_SESSION_POSITION_HISTORY_H_
#define CARAWAYHAVEN_CORE_SESSION_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Positions of a group's primary over time. A position that the primary
/// answered to a statement sent at t covers every commit acknowledged before t.
/// Not thread-safe.
class PositionHistory {
 public:
  struct Sample {
    /// No later than the moment at which the primary had the position.
    TimePoint at;
    LogPosition position;
  };

  /// Adds an answer of the endpoint that was the primary at `at`.
  void Add(TimePoint at, LogPosition position);

  /// Returns the least known position that covers all commits acknowledged
  /// before `time`, or nothing when no answer is new enough.
  std::optional<LogPosition> PositionCovering(TimePoint time) const;

  /// Returns what a log must have reached to hold the commit at `position`,
  /// which may be of a term that has ended.
  LogPosition SurvivingPosition(LogPosition position) const;

  /// The newest sample, or nothing.
  std::optional<Sample> Newest() const;

 private:
  /// Ascending in time and position, all of the newest term.
  std::deque<Sample> samples_;
  /// First position seen of the newest term.
  LogPosition term_start_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_POSITION_HISTORY_H_
