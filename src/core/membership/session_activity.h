#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_ACTIVITY_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_ACTIVITY_H_

#include <cstddef>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Decides from when and until when a VM follows the store, asks for rights and
/// may run sessions. Not thread-safe.
class SessionActivity {
 public:
  // A VM that is not placed any more goes on for a while, since a false
  // suspicion of a peer moves sessions for a moment.
  static constexpr Duration kDeactivationDelay = std::chrono::seconds(5);

  enum class State : std::uint8_t {
    /// New sessions may run here.
    kActive,
    /// Sessions that are here run on; idle ones are to be closed, which moves
    /// them to the VMs that run sessions now.
    kDraining,
    kInactive,
  };
  struct Inputs {
    /// The placement wants sessions here.
    bool selected_by_placement = false;
    bool is_leader = false;
    /// Sessions that run here, relayed ones included.
    std::size_t sessions = 0;
  };

  State Update(const Inputs& inputs, TimePoint now);

 private:
  TimePoint last_selected_at_;
  bool was_selected_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_ACTIVITY_H_
