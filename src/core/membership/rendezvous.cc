#include "core/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <compare>
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

std::vector<VmName> WeightedRendezvousOrder(
    std::string_view key, std::span<const VmName> vms,
    std::span<const std::uint32_t> weights, std::size_t count) {
  const bool equal = std::adjacent_find(weights.begin(), weights.end(),
                                        std::not_equal_to<>()) == weights.end();
  if (equal) return RendezvousOrder(key, vms, count);
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  struct Candidate {
    double score;
    XXH64_hash_t hash;
    const VmName* vm;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(vms.size());
  for (std::size_t i = 0; i < vms.size(); ++i) {
    const XXH64_hash_t hash =
        XXH3_64bits_withSeed(vms[i].data(), vms[i].size(), seed);
    // The logarithm of a number that is uniformly distributed in (0, 1).
    const double uniform = std::ldexp(static_cast<double>(hash) + 0.5, -64);
    candidates.push_back({std::log(uniform) / weights[i], hash, &vms[i]});
  }
  const std::size_t kept = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end(), std::greater<>());
  std::vector<VmName> order;
  order.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) order.push_back(*candidates[i].vm);
  return order;
}

}  // namespace carawayhaven
