#ifndef CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_
#define CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_

#include <algorithm>
#include <chrono>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Time after the pool owner's deadline during which the owner's verdict is
/// still awaited, which is cheaper than a resolve.
constexpr Duration ReplyGrace(Duration reserve) {
  return std::min<Duration>(reserve / 4, std::chrono::milliseconds(25));
}

/// Minimum time left for another attempt of a write. With less time the attempt
/// would end in a resolve.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(20);

/// Maximum time to wait for a replica to reach the position of a session.
constexpr Duration MaxReplicaWait(Duration left) {
  return std::min<Duration>(left / 4, std::chrono::milliseconds(50));
}

/// Time without an answer after which a read is hedged, that is, also sent to
/// another endpoint.
constexpr Duration HedgeDelay(Duration left) { return left / 2; }

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_DEADLINE_SPLIT_H_
