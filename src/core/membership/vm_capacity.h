#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_VM_CAPACITY_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_VM_CAPACITY_H_

#include <cstdint>

namespace carawayhaven {

/// Thousandths of a core of the largest capacity that is accepted from a peer
/// or from the store. An invented number would attract all sessions.
constexpr std::uint32_t kMaxVmCapacity = 1'024'000;

/// Returns the capacity of a VM in thousandths of a core, capped by what its
/// link can carry; at least one. Zero (unknown) if `cpu_share`, in cores, is
/// not greater than zero. A `link_mbps` of zero or less sets no cap.
std::uint32_t VmCapacity(double cpu_share, double link_mbps);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_VM_CAPACITY_H_
