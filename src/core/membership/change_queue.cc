#include "core/membership/change_queue.h"

namespace carawayhaven {

void ChangeQueue::Add(const VmName& vm) {
  const auto [entry, added] = sent_.emplace(vm, 0);
  if (!added) {
    order_.erase({entry->second, vm});
    entry->second = 0;
  }
  order_.emplace(0, vm);
}

std::vector<VmName> ChangeQueue::Take(std::size_t count, std::size_t limit) {
  std::vector<VmName> taken;
  while (taken.size() < count && !order_.empty()) {
    taken.push_back(order_.begin()->second);
    order_.erase(order_.begin());
  }
  for (const VmName& vm : taken) {
    const auto entry = sent_.find(vm);
    if (++entry->second < limit) {
      order_.emplace(entry->second, vm);
    } else {
      sent_.erase(entry);
    }
  }
  return taken;
}

}  // namespace carawayhaven
