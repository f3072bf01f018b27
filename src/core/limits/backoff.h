#ifndef CARAWAYHAVEN_CORE_LIMITS_BACKOFF_H_
#define CARAWAYHAVEN_CORE_LIMITS_BACKOFF_H_

#include <random>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Delays between attempts: uniform between zero and a bound that doubles with
/// each attempt (full jitter), so that requests that failed together do not
/// return together. Not thread-safe.
class Backoff {
 public:
  static constexpr Duration kInitialBound = std::chrono::milliseconds(5);
  static constexpr Duration kMaxBound = std::chrono::milliseconds(250);

  explicit Backoff(Duration first = kInitialBound, Duration last = kMaxBound)
      : first_(first), last_(last) {}

  /// Returns the delay before the next attempt and doubles the bound.
  Duration Next(std::mt19937_64& random);

  /// Returns to the first bound.
  void Reset() { attempts_ = 0; }

 private:
  Duration first_;
  Duration last_;
  unsigned attempts_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_BACKOFF_H_
