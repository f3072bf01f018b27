#include "core/limits/backoff.h"

#include <algorithm>

namespace carawayhaven {

Duration Backoff::Next(std::mt19937_64& random) {
  constexpr unsigned kMaxDoublings = 16;
  const unsigned doublings = std::min(attempts_++, kMaxDoublings);
  const Duration bound =
      std::min(max_bound_, initial_bound_ * (1U << doublings));
  std::uniform_int_distribution<Duration::rep> uniform(0, bound.count());
  return Duration(uniform(random));
}

}  // namespace carawayhaven
