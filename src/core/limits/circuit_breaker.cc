#include "core/limits/circuit_breaker.h"

#include <algorithm>

namespace carawayhaven {

bool CircuitBreaker::TryAcquire(TimePoint now) {
  if (!open_) return true;
  if (probing_ || now < retry_at_) return false;
  probing_ = true;
  return true;
}

void CircuitBreaker::OnSuccess() { *this = CircuitBreaker(); }

void CircuitBreaker::OnFailure(TimePoint now) {
  ++failures_;
  if (!open_) {
    if (failures_ < kFailureThreshold) return;
    open_ = true;
    retry_at_ = now + pause_;
    return;
  }
  // Without a running probe the failed attempt started before the breaker
  // opened; it does not lengthen the pause.
  if (!probing_) return;
  probing_ = false;
  pause_ = std::min(pause_ * 2, kMaxPause);
  retry_at_ = now + pause_;
}

TimePoint CircuitBreaker::RetryAt() const {
  return open_ && !probing_ ? retry_at_ : TimePoint::max();
}

}  // namespace carawayhaven
