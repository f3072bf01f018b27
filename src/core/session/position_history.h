#ifndef CARAWAYHAVEN_CORE_SESSION_POSITION_HISTORY_H_
#define CARAWAYHAVEN_CORE_SESSION_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Log positions of a group's primary over time. A position in the primary's
/// reply to a statement sent at time t covers every commit acknowledged before
/// t. Not thread-safe.
class PositionHistory {
 public:
  struct Sample {
    /// Time at or before which the primary had the position.
    TimePoint at;
    LogPosition position;
  };

  /// Adds the position from a reply of the endpoint that was the primary at
  /// `at`, the time at which the statement was sent.
  void Add(TimePoint at, LogPosition position);

  /// Returns the lowest known position that covers all commits acknowledged
  /// before `time`, or nullopt if no sample is new enough.
  std::optional<LogPosition> PositionCovering(TimePoint time) const;

  /// Returns the position that a log must have reached to include the commit at
  /// `position` if that commit survived: for a commit of an earlier term, the
  /// first known position of the latest term.
  LogPosition SurvivingPosition(LogPosition position) const;

  /// Returns the newest sample, or nullopt if there is none.
  std::optional<Sample> Newest() const;
  /// Returns the newest sample whose position is not beyond `position`, or
  /// nullopt if there is none.
  std::optional<Sample> NewestUpTo(LogPosition position) const;

 private:
  /// Ascending by time and position; all samples are of the latest term.
  std::deque<Sample> samples_;
  /// Lowest position seen in the latest term.
  LogPosition term_start_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_POSITION_HISTORY_H_
