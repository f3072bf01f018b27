#ifndef CARAWAYHAVEN_CORE_QUEUE_ADMISSION_CONTROL_H_
#define CARAWAYHAVEN_CORE_QUEUE_ADMISSION_CONTROL_H_

#include <cstdint>
#include <optional>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// What stands before a new request.
struct QueueLoad {
  /// Work that is expected to run before the request.
  Duration backlog{0};
  /// Slots that serve the request's class, at least one.
  std::uint32_t slots = 1;
  bool all_slots_busy = false;
};

/// Refuses work early when its deadline cannot be met.
class AdmissionControl {
 public:
  // Keeps refused callers from returning faster than a statement ends.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

  /// Returns nothing when the request may wait, otherwise the time after which
  /// a retry has a chance. The wait is raised by `margin` times itself.
  static std::optional<Duration> Refuse(const QueueLoad& load, Duration cost,
                                        Duration remaining, double margin);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ADMISSION_CONTROL_H_
