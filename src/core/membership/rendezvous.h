#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_RENDEZVOUS_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
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

/// Returns at most `count` of the VMs in weighted rendezvous order: a VM is the
/// first one for a share of the keys that is proportional to its weight. With
/// equal weights the order is that of RendezvousOrder. `weights` has one entry,
/// greater than zero, for each of the VMs.
std::vector<VmName> WeightedRendezvousOrder(
    std::string_view key, std::span<const VmName> vms,
    std::span<const std::uint32_t> weights, std::size_t count);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_RENDEZVOUS_H_
