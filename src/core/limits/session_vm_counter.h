#ifndef CARAWAYHAVEN_CORE_LIMITS_SESSION_VM_COUNTER_H_
#define CARAWAYHAVEN_CORE_LIMITS_SESSION_VM_COUNTER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Counts the VMs among which limits are divided. The count increases at once
/// and decreases with a delay, because a VM that fell silent may still send
/// operations. Not thread-safe.
class SessionVmCounter {
 public:
  /// A VM counts for this long after it was last known to run sessions: longer
  /// than a partition that the limits must hold through.
  static constexpr Duration kMemory = std::chrono::seconds(30);
  /// A VM that starts to run sessions has no share for this long: a period of
  /// the gossip by which its peers learn of it. A longer delay refuses the
  /// operations of all callers after a restart of the fleet.
  static constexpr Duration kJoinDelay = std::chrono::milliseconds(500);
  /// A VM that no longer runs sessions gives up its share this long before its
  /// peers stop counting it.
  static constexpr Duration kLeaveMargin = std::chrono::seconds(5);

  explicit SessionVmCounter(VmName self) : self_(std::move(self)) {}

  /// Sets the VMs that are known to run sessions.
  void Update(const std::vector<VmName>& vms, TimePoint now);

  /// Returns the divisor of this VM's share; zero if it has none. For kMemory
  /// after a change of the VMs, one VM that is not known yet is included.
  std::size_t Divisor(TimePoint now) const;

  /// Forgets everything, as after a start.
  void Reset() { *this = SessionVmCounter(self_); }

 private:
  VmName self_;
  std::map<VmName, TimePoint> last_seen_;
  TimePoint updated_;
  /// Size of the latest list, and when the list last changed.
  std::size_t listed_ = 0;
  TimePoint changed_;
  /// When this VM was added; max() while it is not among the VMs.
  TimePoint joined_ = TimePoint::max();
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_SESSION_VM_COUNTER_H_
