#include "core/membership/vm_capacity.h"

#include <algorithm>

namespace carawayhaven {
namespace {

constexpr double kThousandthsPerCore = 1000;
// A link of 1 Mbit/s counts as much as this many thousandths of a core. In the
// target deployments 200 Mbit/s belong to half a core, which therefore must not
// be capped (2.5), and 10 Mbit/s must be a bottleneck for 0.12 of a core. Not
// measured.
constexpr double kThousandthsPerMbps = 4;

}  // namespace

std::uint32_t VmCapacity(double cpu_share, double link_mbps) {
  if (cpu_share <= 0) return 0;
  double capacity = cpu_share * kThousandthsPerCore;
  if (link_mbps > 0) {
    capacity = std::min(capacity, link_mbps * kThousandthsPerMbps);
  }
  return static_cast<std::uint32_t>(
      std::clamp(capacity, 1.0, static_cast<double>(kMaxVmCapacity)));
}

}  // namespace carawayhaven
