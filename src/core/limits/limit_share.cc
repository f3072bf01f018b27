#include "core/limits/limit_share.h"

#include <algorithm>

namespace carawayhaven {
namespace {

// Parts of the slack and of the burst that are kept back for repeated sends,
// which are counted but not refused. The larger one applies.
constexpr double kReservedSlack = 0.2;
constexpr double kReservedBurst = 0.1;
// The capacity is reduced to this part of the burst, and to this number of
// operations if that is larger, before the rate is reduced: one operation needs
// a whole token, which a VM must be able to borrow from a few peers.
constexpr double kMinCapacityPart = 0.5;
constexpr double kMinCapacity = 4;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

BucketSize FleetBucketSize(const OrganisationLimits& limits,
                           const LimitTolerance& tolerance) {
  const double rate = std::max(limits.rate_per_s, 0.0);
  const double burst = std::max(limits.burst, 0.0);
  const double window = Seconds(tolerance.window);
  const double allowed =
      (rate * window + burst) * (1 + tolerance.excess) + tolerance.slack;
  // With the usual excess and slack the reserve is the part of the slack.
  const double reserve =
      std::max(kReservedSlack * tolerance.slack,
               tolerance.slack > 0 ? 0 : kReservedBurst * burst);
  const double usable = std::max(allowed - reserve, 0.0);
  const double span = window + Seconds(kMaxSendDelay);
  BucketSize size;
  const double min_capacity =
      std::min(usable / 2, std::max(kMinCapacityPart * burst, kMinCapacity));
  size.capacity = std::max(usable - rate * span, min_capacity);
  size.rate_per_s = std::clamp((usable - size.capacity) / span, 0.0, rate);
  return size;
}

BucketSize ShareOf(const BucketSize& fleet, std::size_t vms) {
  if (vms == 0) return {};
  const auto count = static_cast<double>(vms);
  return {fleet.rate_per_s / count, fleet.capacity / count};
}

}  // namespace carawayhaven
