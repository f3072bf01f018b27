#include "core/membership/load_meter.h"

#include <algorithm>
#include <chrono>

namespace carawayhaven {

void LoadMeter::AddDelay(Duration delay) {
  sum_ += std::clamp(delay, Duration{0}, kMaxDelay);
  ++delays_;
}

void LoadMeter::EndWindow() {
  if (delays_ == 0) return;
  const double mean_ms =
      std::chrono::duration<double, std::milli>(sum_).count() /
      static_cast<double>(delays_);
  load_ms_ += kNewWindowShare * (mean_ms - load_ms_);
  sum_ = Duration{0};
  delays_ = 0;
}

}  // namespace carawayhaven
