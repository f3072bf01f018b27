#include "core/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace carawayhaven {

std::vector<VmName> RendezvousOrder(std::string_view key,
                                    std::span<const VmName> vms,
                                    std::size_t count) {
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  std::vector<std::pair<std::uint64_t, const VmName*>> weighted;
  weighted.reserve(vms.size());
  for (const VmName& vm : vms) {
    weighted.emplace_back(XXH3_64bits_withSeed(vm.data(), vm.size(), seed),
                          &vm);
  }
  const std::size_t kept = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                    weighted.end(), std::greater<>());
  std::vector<VmName> order;
  order.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) order.push_back(*weighted[i].second);
  return order;
}

}  // namespace carawayhaven
