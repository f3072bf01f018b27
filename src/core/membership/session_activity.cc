#include "core/membership/session_activity.h"

namespace carawayhaven {

SessionActivity::State SessionActivity::Update(const Inputs& inputs,
                                               TimePoint now) {
  if (inputs.selected) {
    last_selected_at_ = now;
    was_selected_ = true;
  }
  const bool in_delay =
      was_selected_ && now - last_selected_at_ < kDeactivationDelay;
  if (inputs.selected || in_delay || inputs.is_leader) return State::kActive;
  return inputs.sessions > 0 ? State::kDraining : State::kInactive;
}

}  // namespace carawayhaven
