#ifndef CARAWAYHAVEN_CORE_LIMITS_CIRCUIT_BREAKER_H_
#define CARAWAYHAVEN_CORE_LIMITS_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Blocks attempts after consecutive failures, then allows one probe at a time
/// until a probe succeeds. Not thread-safe.
class CircuitBreaker {
 public:
  static constexpr std::uint32_t kFailureThreshold = 5;
  static constexpr Duration kInitialPause = std::chrono::milliseconds(200);
  static constexpr Duration kMaxPause = std::chrono::seconds(5);

  /// Returns whether an attempt may start. In the half-open state the first
  /// call returns true and starts the probe; further calls return false until
  /// a result is reported.
  bool TryAcquire(TimePoint now);

  void OnSuccess();
  void OnFailure(TimePoint now);

  /// True from when the breaker opens until an attempt succeeds.
  bool is_open() const { return open_; }

  /// Time of the next probe; TimePoint::max() while closed or probing.
  TimePoint RetryAt() const;

 private:
  bool open_ = false;
  bool probing_ = false;
  std::uint32_t failures_ = 0;
  Duration pause_ = kInitialPause;
  TimePoint retry_at_{};
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_CIRCUIT_BREAKER_H_
