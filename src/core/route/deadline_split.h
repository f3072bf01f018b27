#ifndef CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_
#define CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_

#include <algorithm>
#include <chrono>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Time after the owner's deadline in which the front still waits for the
/// owner's verdict, which is cheaper than a resolve.
constexpr Duration ReplyGrace(Duration reserve) {
  return std::min<Duration>(reserve / 4, std::chrono::milliseconds(25));
}

/// Least time left for another attempt of a write; less would end as a resolve.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(20);

/// Longest wait for a replica to reach a session's position.
constexpr Duration MaxReplicaWait(Duration left) {
  return std::min<Duration>(left / 4, std::chrono::milliseconds(50));
}

/// Time after which a read without an answer is sent elsewhere as well.
constexpr Duration HedgeDelay(Duration left) { return left / 2; }

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_
