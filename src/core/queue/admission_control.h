#ifndef CARAWAYHAVEN_CORE_QUEUE_ADMISSION_CONTROL_H_
#define CARAWAYHAVEN_CORE_QUEUE_ADMISSION_CONTROL_H_

#include <cstdint>
#include <optional>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Load that a new request finds in the queue.
struct QueueLoad {
  /// Expected run time of the work that starts before the request.
  Duration backlog{0};
  /// Number of slots that serve the request's class; at least one.
  std::uint32_t slots = 1;
  bool all_slots_busy = false;
};

/// Refuses requests on arrival when their deadline cannot be met.
class AdmissionControl {
 public:
  // A shorter delay would let refused callers return before a running statement
  // has ended.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

  /// Returns nothing when the request is admitted, otherwise the time after
  /// which a retry may succeed. The expected wait is multiplied by 1 +
  /// `margin`; `cost` is the expected run time of the request and `remaining`
  /// the time until its deadline.
  static std::optional<Duration> Refuse(const QueueLoad& load, Duration cost,
                                        Duration remaining, double margin);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ADMISSION_CONTROL_H_
