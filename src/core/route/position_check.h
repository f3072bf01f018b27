#ifndef CARAWAYHAVEN_CORE_ROUTE_POSITION_CHECK_H_
#define CARAWAYHAVEN_CORE_ROUTE_POSITION_CHECK_H_

#include <functional>

#include "carawayhaven/log_position.h"

namespace carawayhaven {

struct ServiceConfig;

/// Returns whether a replica at the position `replica` has the data that the
/// position `token` of a session requires (docs/design.md, section 7).
using PositionCheck = std::function<bool(
    const ServiceConfig&, LogPosition replica, LogPosition token)>;

/// Accepts only positions of the token's own term. This is always safe, but
/// reads with a token of an older term go to the primary.
inline bool SameTermPositionCheck(const ServiceConfig& /*service*/,
                                  LogPosition replica, LogPosition token) {
  return token == LogPosition{} ||
         (replica.term == token.term && replica.index >= token.index);
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_POSITION_CHECK_H_
