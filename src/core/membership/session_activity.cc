#include "core/membership/session_activity.h"

namespace carawayhaven {

SessionActivity::State SessionActivity::Update(const Inputs& inputs,
                                               TimePoint now) {
  if (inputs.placed) {
    placed_at_ = now;
    was_placed_ = true;
  }
  const bool lingers = was_placed_ && now - placed_at_ < kLinger;
  if (inputs.placed || lingers || inputs.holds_duty) return State::kActive;
  return inputs.sessions > 0 ? State::kLeaving : State::kInactive;
}

}  // namespace carawayhaven
