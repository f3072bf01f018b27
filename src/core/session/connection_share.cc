#include "core/session/connection_share.h"

#include <algorithm>

namespace carawayhaven {

bool ConnectionShare::SetVmCount(std::size_t vm_count, TimePoint now) {
  if (vm_count < vm_count_ && now - count_seen_at_ < kVmRetention) return false;
  count_seen_at_ = now;
  const bool changed = vm_count != vm_count_;
  vm_count_ = vm_count;
  return changed;
}

std::uint32_t ConnectionShare::LimitFor(std::uint32_t connections) const {
  if (vm_count_ == 0 || connections <= kReservedConnections) return 1;
  const std::uint32_t share = (connections - kReservedConnections) /
                              static_cast<std::uint32_t>(vm_count_);
  return std::max({1U, std::min(share, kMaxFullyUsedShare), share * 2 / 3});
}

}  // namespace carawayhaven
