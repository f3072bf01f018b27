#ifndef CARAWAYHAVEN_CORE_LIMITS_LIMIT_SHARE_H_
#define CARAWAYHAVEN_CORE_LIMITS_LIMIT_SHARE_H_

#include <cstddef>

#include "carawayhaven/time.h"
#include "core/session/route_table.h"

namespace carawayhaven {

/// By how much a limit may be exceeded: in each window,
/// (rate x window + burst) x (1 + excess) + slack operations may be sent.
struct LimitTolerance {
  Duration window = std::chrono::seconds(5);
  double excess = 0;
  double slack = 0;
};

/// Rate and capacity of a token bucket, or of the buckets of all VMs together.
struct BucketSize {
  double rate_per_s = 0;
  double capacity = 0;
};

/// Longest expected time from the admission of an operation to its sending,
/// spent in the queue of the router.
constexpr Duration kMaxSendDelay = std::chrono::milliseconds(500);

/// Returns what the buckets of all VMs may hand out together, so that the
/// operations sent in a window stay within the rule. If the tolerance is too
/// small for the send delay and repeated sends, capacity and then rate are
/// below those of the limit.
BucketSize FleetBucketSize(const OrganisationLimits& limits,
                           const LimitTolerance& tolerance);

/// Returns the share of one of `vms` VMs; nothing for zero VMs.
BucketSize ShareOf(const BucketSize& fleet, std::size_t vms);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_LIMIT_SHARE_H_
