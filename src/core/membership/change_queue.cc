#include "core/membership/change_queue.h"

namespace carawayhaven {

void ChangeQueue::Add(const VmName& vm) {
  const auto [entry, added] = transmissions_.emplace(vm, 0);
  if (!added) {
    by_transmissions_.erase({entry->second, vm});
    entry->second = 0;
  }
  by_transmissions_.emplace(0, vm);
}

std::vector<VmName> ChangeQueue::Take(std::size_t count, std::size_t limit) {
  std::vector<VmName> taken;
  while (taken.size() < count && !by_transmissions_.empty()) {
    taken.push_back(by_transmissions_.begin()->second);
    by_transmissions_.erase(by_transmissions_.begin());
  }
  for (const VmName& vm : taken) {
    const auto entry = transmissions_.find(vm);
    if (++entry->second < limit) {
      by_transmissions_.emplace(entry->second, vm);
    } else {
      transmissions_.erase(entry);
    }
  }
  return taken;
}

}  // namespace carawayhaven
