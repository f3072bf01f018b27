#include "core/queue/admission_control.h"

#include <algorithm>

namespace carawayhaven {

std::optional<Duration> AdmissionControl::Refuse(const QueueLoad& load,
                                                 Duration cost,
                                                 Duration remaining,
                                                 double margin) {
  Duration wait = load.backlog / load.slots;
  if (load.all_slots_busy) wait += cost / (2 * load.slots);
  wait += std::chrono::duration_cast<Duration>(wait * margin);
  if (wait + cost <= remaining) return std::nullopt;
  return std::max(wait + cost - remaining, kMinRetryAfter);
}

}  // namespace carawayhaven
