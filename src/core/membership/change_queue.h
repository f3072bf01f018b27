#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_CHANGE_QUEUE_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_CHANGE_QUEUE_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// VMs whose records are still to be sent to others, each a limited number of
/// times. Those sent least often come first. Not thread-safe.
class ChangeQueue {
 public:
  /// Adds a VM, or starts anew to count its transmissions.
  void Add(const VmName& vm);

  /// Returns at most `count` VMs and counts one transmission of each; a VM is
  /// removed after `limit` transmissions.
  std::vector<VmName> Take(std::size_t count, std::size_t limit);

  std::size_t size() const { return sent_.size(); }

 private:
  std::set<std::pair<std::size_t, VmName>> order_;
  std::map<VmName, std::size_t> sent_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_CHANGE_QUEUE_H_
