#ifndef CARAWAYHAVEN_LOG_POSITION_H_
#define CARAWAYHAVEN_LOG_POSITION_H_

#include <compare>
#include <cstdint>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Position of an entry in the replication log of a group. Positions compare by
/// term first, so a longer log of an older term counts as behind.
struct LogPosition {
  Term term = 0;
  std::uint64_t index = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_LOG_POSITION_H_
