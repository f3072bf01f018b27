#ifndef CARAWAYHAVEN_CORE_ROUTE_POSITION_CHECK_H_
#define CARAWAYHAVEN_CORE_ROUTE_POSITION_CHECK_H_

#include <functional>

#include "carawayhaven/log_position.h"

namespace carawayhaven {

struct ServiceConfig;

/// Tells whether a replica at a position has what a session token requires
/// (section 7 of the design page).
using PositionCheck = std::function<bool(
    const ServiceConfig&, LogPosition replica, LogPosition token)>;

/// Accepts positions of the token's own term only. Never wrong, but sends each
/// session with a token of an older term to the primary.
inline bool SameTermPositionCheck(const ServiceConfig& /*service*/,
                                  LogPosition replica, LogPosition token) {
  return token == LogPosition{} ||
         (replica.term == token.term && replica.index >= token.index);
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_POSITION_CHECK_H_
