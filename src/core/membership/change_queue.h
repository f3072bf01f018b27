#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_CHANGE_QUEUE_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_CHANGE_QUEUE_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Queue of VMs whose changed records are to be sent to peers, each a limited
/// number of times, in ascending order of the number of transmissions so far.
/// Not thread-safe.
class ChangeQueue {
 public:
  /// Adds a VM, or resets its transmission count when it is queued already.
  void Add(const VmName& vm);

  /// Returns at most `count` VMs and counts one transmission for each. A VM is
  /// removed after `limit` transmissions.
  std::vector<VmName> Take(std::size_t count, std::size_t limit);

  std::size_t size() const { return transmissions_.size(); }

 private:
  std::set<std::pair<std::size_t, VmName>> by_transmissions_;
  std::map<VmName, std::size_t> transmissions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_CHANGE_QUEUE_H_
