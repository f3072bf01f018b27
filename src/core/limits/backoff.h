#ifndef CARAWAYHAVEN_CORE_LIMITS_BACKOFF_H_
#define CARAWAYHAVEN_CORE_LIMITS_BACKOFF_H_

#include <random>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Exponential back-off with full jitter: each delay is uniform between zero
/// and a bound that doubles with each attempt, so that requests that failed
/// together are not retried together. Not thread-safe.
class Backoff {
 public:
  static constexpr Duration kInitialBound = std::chrono::milliseconds(5);
  static constexpr Duration kMaxBound = std::chrono::milliseconds(250);

  explicit Backoff(Duration initial_bound = kInitialBound,
                   Duration max_bound = kMaxBound)
      : initial_bound_(initial_bound), max_bound_(max_bound) {}

  /// Returns the delay before the next attempt and doubles the bound.
  Duration Next(std::mt19937_64& random);

  /// Resets the bound to its initial value.
  void Reset() { attempts_ = 0; }

 private:
  Duration initial_bound_;
  Duration max_bound_;
  unsigned attempts_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_BACKOFF_H_
