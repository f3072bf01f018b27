#ifndef CARAWAYHAVEN_CORE_GROUP_POSITION_RULE_H_
#define CARAWAYHAVEN_CORE_GROUP_POSITION_RULE_H_

#include <span>

#include "carawayhaven/log_position.h"

namespace carawayhaven {

/// Returns whether a replica at position `replica` is certain to hold every
/// write up to the position `token` of a session token. `term_starts` holds the
/// start of each recent term, oldest first. Returns false when this cannot be
/// decided: the token is older than the kept starts, or the start of a term is
/// not known yet.
bool PositionSatisfies(LogPosition replica, LogPosition token,
                       std::span<const LogPosition> term_starts);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_POSITION_RULE_H_
