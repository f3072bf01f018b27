#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_CUT_OFF_DETECTOR_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_CUT_OFF_DETECTOR_H_

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Decides whether this VM is cut off from the primaries, so that its sessions
/// are better served by other VMs. A VM without primary leases is not cut off
/// while the store answers it: then the other VMs have no leases either, or
/// this VM is overloaded. Not thread-safe.
class CutOffDetector {
 public:
  /// A VM is cut off when this much time, and kMinUpdates updates, have passed
  /// without a lease and an answer of the store. A change of leader takes less
  /// time; updates do not run while the loop is busy or the process is paused.
  static constexpr Duration kDelay = std::chrono::seconds(2);
  static constexpr int kMinUpdates = 6;

  struct Inputs {
    /// Some primary lease is valid, or this VM may not run sessions.
    bool has_lease = false;
    /// When the store last answered this VM.
    TimePoint store_answered_at;
  };

  /// To be called several times per second. Returns true while the VM is cut
  /// off.
  bool Update(const Inputs& inputs, TimePoint now);
  bool is_cut_off() const { return cut_off_; }

 private:
  TimePoint last_lease_at_;
  int updates_without_lease_ = 0;
  bool cut_off_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_CUT_OFF_DETECTOR_H_
