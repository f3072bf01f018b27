#include "core/route/resolve_reserve.h"

#include <algorithm>

namespace carawayhaven {

void ResolveReserve::OnAnswer(Duration took) {
  constexpr int kWeight = 16;
  // A few writes run up to 200 times longer; without this bound they would
  // dominate the mean.
  const Duration sample = std::min(took, 2 * ResponseTime());
  const Duration difference = sample - mean_;
  mean_ += difference / kWeight;
  deviation_ += (std::chrono::abs(difference) - deviation_) / kWeight;
}

Duration ResolveReserve::For(Duration time_left) const {
  if (time_left / 2 < ResponseTime()) return Duration(0);
  return std::min({time_left / 2, options_.response_times * ResponseTime(),
                   options_.max_reserve});
}

}  // namespace carawayhaven
