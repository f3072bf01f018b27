#include "core/session/connection_share.h"

#include <algorithm>

namespace carawayhaven {

bool ConnectionShare::SetVmCount(std::size_t vms, TimePoint now) {
  if (vms < vms_ && now - seen_at_ < kVmRetention) return false;
  seen_at_ = now;
  const bool changed = vms != vms_;
  vms_ = vms;
  return changed;
}

std::uint32_t ConnectionShare::LimitFor(std::uint32_t connections) const {
  if (vms_ == 0 || connections <= kReservedConnections) return 1;
  const std::uint32_t share =
      (connections - kReservedConnections) / static_cast<std::uint32_t>(vms_);
  return std::max({1U, std::min(share, kMaxFullyUsedShare), share * 2 / 3});
}

}  // namespace carawayhaven
