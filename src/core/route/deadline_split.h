#ifndef CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_
#define CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_

#include <algorithm>
#include <chrono>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Part of the time left that a write keeps for a resolve.
///
/// A resolve takes a round trip to the owner and a confirmation of the primary
/// by a replica: about 100 ms between the farthest data centres. A quarter
/// leaves short requests most of their time; above 250 ms more time does not
/// help a resolve.
struct ResolveReserve {
  int divisor = 4;
  Duration most = std::chrono::milliseconds(250);

  constexpr Duration Of(Duration left) const {
    return std::min(left / divisor, most);
  }
};

/// Time after the owner's deadline in which the front still waits for the
/// owner's verdict, which is cheaper than a resolve.
constexpr Duration ReplyGrace(Duration reserve) {
  return std::min<Duration>(reserve / 4, std::chrono::milliseconds(25));
}

/// Least time left for another attempt of a write; less would end as a resolve.
inline constexpr Duration kLeastAttemptTime = std::chrono::milliseconds(20);

/// Longest wait for a replica to reach a session's position.
constexpr Duration ReplicaWaitBound(Duration left) {
  return std::min<Duration>(left / 4, std::chrono::milliseconds(50));
}

/// Time after which a read without an answer is sent elsewhere as well.
constexpr Duration ReadPatience(Duration left) { return left / 2; }

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_
