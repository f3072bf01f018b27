#include "core/membership/overload_tracker.h"

namespace carawayhaven {

bool OverloadTracker::Update(const VmName& vm, std::uint32_t load_ms,
                             TimePoint reported_at, TimePoint now) {
  State& state = states_[vm];
  const bool is_stale = reported_at + kReportLifetime < now;
  const std::uint32_t load = is_stale ? 0 : load_ms;
  const bool overloaded =
      load >= (state.overloaded ? kRecoveredMs : kOverloadedMs);
  const bool may_change = state.changed_at + kMinInterval <= now;
  if (overloaded == state.overloaded || !may_change) return false;
  state = {overloaded, now};
  return true;
}

void OverloadTracker::Retain(const std::set<VmName>& vms) {
  std::erase_if(states_,
                [&](const auto& entry) { return !vms.contains(entry.first); });
}

bool OverloadTracker::IsOverloaded(std::string_view vm) const {
  const auto found = states_.find(vm);
  return found != states_.end() && found->second.overloaded;
}

}  // namespace carawayhaven
