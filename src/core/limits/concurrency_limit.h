#ifndef CARAWAYHAVEN_CORE_LIMITS_CONCURRENCY_LIMIT_H_
#define CARAWAYHAVEN_CORE_LIMITS_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Adaptive limit on the outstanding statements of one endpoint: additive
/// increase, multiplicative decrease, slow start, and zero while the endpoint
/// fails. Response times are compared within a class of statements, whose
/// numbers the caller assigns. Not thread-safe.
class ConcurrencyLimit {
 public:
  /// Number of consecutive failures after which the limit is zero.
  static constexpr unsigned kFailuresToCollapse = 5;
  /// Pause between the last failure and a probe with a read, and with a
  /// statement that has an effect. The latter is for endpoints that get no
  /// reads: the outcome of a lost write is unknown to its caller.
  static constexpr Duration kProbePause = std::chrono::milliseconds(100);
  static constexpr Duration kEffectProbePause = std::chrono::seconds(1);

  /// Returns whether another statement may be sent while `outstanding` are. At
  /// most `slots` are allowed.
  bool Allows(unsigned outstanding, unsigned slots, bool has_effect,
              TimePoint now) const;
  /// When Allows may next return true without another event; max() unless the
  /// limit is zero.
  TimePoint NextProbe(bool has_effect) const;

  /// The endpoint ran a statement. `outstanding` includes this one.
  void OnAnswer(std::uint32_t statement_class, TimePoint sent_at,
                unsigned outstanding, unsigned slots, TimePoint now);
  /// The endpoint refused a statement because no slot was free.
  void OnRefusal(TimePoint sent_at, TimePoint now);
  /// A statement failed, or its connection was lost or could not be opened.
  void OnFailure(TimePoint sent_at, TimePoint now);
  /// No answer arrived in time. Ignored if the statement was sent so late that
  /// this says nothing about the endpoint.
  void OnTimeout(std::uint32_t statement_class, TimePoint sent_at,
                 TimePoint now);
  /// The endpoint has a new process.
  void Restart();

  /// Number of statements that may be outstanding, before the bound by slots.
  double limit() const { return limit_; }
  bool is_collapsed() const { return limit_ == 0; }

 private:
  /// Minimum response time of the current and the previous window.
  struct Minimum {
    Duration previous = Duration::max();
    Duration current = Duration::max();
    TimePoint window_start;

    Duration value() const { return std::min(previous, current); }
  };

  bool IsSlow(std::uint32_t statement_class, Duration response) const;
  void RecordResponse(std::uint32_t statement_class, Duration response,
                      TimePoint now);
  void Decrease(TimePoint sent_at, TimePoint now);
  void Increase(unsigned outstanding, unsigned slots);

  double limit_ = 1;
  bool slow_start_ = true;
  /// Good answers since the limit last doubled.
  double round_ = 0;
  unsigned failures_ = 0;
  TimePoint last_failure_ = TimePoint::min();
  /// Statements sent before this time saw the load before the last decrease.
  TimePoint decreased_at_ = TimePoint::min();
  std::map<std::uint32_t, Minimum> minimums_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_CONCURRENCY_LIMIT_H_
