#include "core/membership/cut_off_detector.h"

#include <algorithm>

namespace carawayhaven {

bool CutOffDetector::Update(const Inputs& inputs, TimePoint now) {
  if (inputs.has_lease) {
    last_lease_at_ = now;
    updates_without_lease_ = 0;
  } else {
    ++updates_without_lease_;
  }
  cut_off_ = updates_without_lease_ >= kMinUpdates &&
             now - std::max(last_lease_at_, inputs.store_answered_at) > kDelay;
  return cut_off_;
}

}  // namespace carawayhaven
