#ifndef CARAWAYHAVEN_CORE_SESSION_STATEMENT_COSTS_H_
#define CARAWAYHAVEN_CORE_SESSION_STATEMENT_COSTS_H_

#include <compare>
#include <cstdint>
#include <map>

#include "carawayhaven/time.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

/// Running estimates of the time that the statements of one service take on an
/// endpoint, one for each kind and route. Not thread-safe.
class StatementCosts {
 public:
  /// Records that the endpoint took `time` for the statement, without the
  /// network's share.
  void Record(const StatementJob& job, Duration time);

  /// Returns the expected time on the endpoint, at least 1 ms; kAssumedRunTime
  /// for a kind without replies.
  Duration Estimate(const StatementJob& job) const;

  /// Returns the number of the statement's kind and route.
  std::uint32_t ClassNumber(const StatementJob& job);

 private:
  /// A route's statements share their priority and maximum age, so that routes
  /// that differ in neither also share an estimate.
  struct Class {
    StatementKind kind;
    bool has_effect;
    bool needs_primary;
    std::uint32_t priority;
    Duration max_age;
    auto operator<=>(const Class&) const = default;
  };
  static Class ClassOf(const StatementJob& job);

  std::map<Class, Duration> means_;
  std::map<Class, std::uint32_t> numbers_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_STATEMENT_COSTS_H_
