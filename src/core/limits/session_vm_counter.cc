#include "core/limits/session_vm_counter.h"

namespace carawayhaven {

void SessionVmCounter::Update(const std::vector<VmName>& vms, TimePoint now) {
  bool changed = vms.size() != listed_;
  listed_ = vms.size();
  for (const VmName& vm : vms) {
    const auto [entry, is_new] = last_seen_.try_emplace(vm, now);
    changed = changed || is_new || entry->second != updated_;
    entry->second = now;
  }
  updated_ = now;
  if (changed) changed_ = now;
  std::erase_if(last_seen_, [now](const auto& entry) {
    return now - entry.second >= kMemory;
  });
  if (!last_seen_.contains(self_)) {
    joined_ = TimePoint::max();
  } else if (joined_ == TimePoint::max()) {
    joined_ = now;
  }
}

std::size_t SessionVmCounter::Divisor(TimePoint now) const {
  const auto self = last_seen_.find(self_);
  if (self == last_seen_.end() || now - self->second > kMemory - kLeaveMargin) {
    return 0;
  }
  if (now - joined_ < kJoinDelay) return 0;
  return last_seen_.size() + (now - changed_ < kMemory ? 1 : 0);
}

}  // namespace carawayhaven
