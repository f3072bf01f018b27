#include "core/group/position_rule.h"

#include <algorithm>

namespace carawayhaven {

bool PositionSatisfies(LogPosition replica, LogPosition token,
                       std::span<const LogPosition> term_starts) {
  if (token == LogPosition{}) return true;
  if (replica.term == token.term) return replica.index >= token.index;
  if (replica.term < token.term) return false;
  // The log of a later term contains the token's term up to the start of the
  // first term after that; entries beyond this were discarded.
  if (term_starts.empty() || token.term < term_starts.front().term) {
    return false;
  }
  const auto later = std::find_if(
      term_starts.begin(), term_starts.end(),
      [&token](const LogPosition& start) { return start.term > token.term; });
  if (later == term_starts.end()) return false;
  return replica.index >= std::min(token.index, later->index);
}

}  // namespace carawayhaven
