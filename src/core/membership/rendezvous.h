#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_RENDEZVOUS_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Returns at most `count` of the VMs in rendezvous order (highest random
/// weight) for the key: by descending hash of key and VM name. When a VM joins
/// or leaves, the relative order of the other VMs stays the same forevery key.
std::vector<VmName> RendezvousOrder(std::string_view key,
                                    std::span<const VmName> vms,
                                    std::size_t count);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_RENDEZVOUS_H_
