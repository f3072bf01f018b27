#ifndef CARAWAYHAVEN_CORE_GROUP_POSITION_RULE_H_
#define CARAWAYHAVEN_CORE_GROUP_POSITION_RULE_H_

#include <span>

#include "carawayhaven/log_position.h"

namespace carawayhaven {

/// Tells whether a replica at `replica` holds every write that a token at
/// `token` stands for. `term_starts` holds the start of each recent term,
/// oldest first. False means that it is not certain: for a token older than
/// the kept starts, or a term whose start is not known yet.
bool PositionSatisfies(LogPosition replica, LogPosition token,
                       std::span<const LogPosition> term_starts);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_POSITION_RULE_H_
