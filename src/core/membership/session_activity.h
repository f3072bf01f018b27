#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_ACTIVITY_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_ACTIVITY_H_

#include <cstddef>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Decides when a VM watches the store, requests primary leases and may run
/// sessions. Not thread-safe.
class SessionActivity {
 public:
  // A VM that is no longer selected by the placement stays active for this
  // time, because a false suspicion of a peer moves sessions temporarily.
  static constexpr Duration kDeactivationDelay = std::chrono::seconds(5);

  enum class State : std::uint8_t {
    /// New sessions may run here.
    kActive,
    /// Existing sessions continue. Idle ones are to be closed, which moves them
    /// to the VMs that are selected now.
    kDraining,
    kInactive,
  };
  struct Inputs {
    /// The placement selects this VM to run sessions.
    bool selected = false;
    bool is_leader = false;
    /// Sessions on this VM, including relayed ones.
    std::size_t sessions = 0;
  };

  State Update(const Inputs& inputs, TimePoint now);

 private:
  TimePoint last_selected_at_;
  bool was_selected_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_ACTIVITY_H_
