#include "core/membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "core/config/team_config.h"
#include "core/membership/rendezvous.h"

namespace carawayhaven {
namespace {

// Candidates cached per endpoint; the forwarding proxy rarely needs more than
// three.
constexpr std::size_t kCachedOwners = 4;
// The design size is 1,200 databases with three endpoints each, which is 3,600
// endpoints. The remaining entries are a margin.
constexpr std::size_t kMaxCachedEndpoints = 20'000;

}  // namespace

Membership::Membership(MembershipOptions options, PeerLink& link,
                       const ConfigDigestSource& digests,
                       std::mt19937_64& random)
    : table_(VmRecord{std::move(options.vm), std::move(options.data_centre),
                      std::move(options.address), options.incarnation, 0,
                      VmState::kAlive, options.capacity}),
      gossip_(table_, link, digests, random) {}

void Membership::OnVmList(std::span<const ListedVm> vms, TimePoint now) {
  std::set<std::string_view> listed;
  for (const ListedVm& vm : vms) {
    listed.insert(vm.vm);
    if (table_.Find(vm.vm) == nullptr) {
      gossip_.ApplyRecord(
          {vm.vm, vm.data_centre, vm.address, 0, 0,
           vm.leaving ? VmState::kLeaving : VmState::kAlive, vm.capacity},
          now);
    }
  }
  std::vector<VmName> known;
  for (const auto& [vm, member] : table_.members()) known.push_back(vm);
  for (const VmName& vm : known) table_.SetListed(vm, listed.contains(vm));
}

void Membership::OnPeerMessage(const VmName& vm, const PeerMessage& message,
                               TimePoint now) {
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message)) {
    gossip_.OnHeartbeat(vm, *heartbeat, now);
  } else if (const auto* hello = std::get_if<HelloMessage>(&message)) {
    if (hello->vm != vm) return;
    gossip_.ApplyRecord(
        {hello->vm, hello->data_centre, hello->address, hello->incarnation, 0,
         VmState::kAlive, hello->capacity},
        now);
  }
}

void Membership::OnPeerLost(const VmName& vm, TimePoint now) {
  gossip_.OnPeerLost(vm, now);
}

void Membership::Leave(TimePoint now) { gossip_.Leave(now); }

std::vector<VmName> Membership::OwnersOf(const EndpointConfig& endpoint,
                                         std::size_t count) const {
  DropStaleCache();
  const auto found = owners_.find(endpoint.name);
  if (found != owners_.end() &&
      found->second.data_centre == endpoint.data_centre &&
      (found->second.complete || found->second.vms.size() >= count)) {
    const std::vector<VmName>& vms = found->second.vms;
    return {vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(count, vms.size()))};
  }
  const std::size_t cached_count = std::max(count, kCachedOwners);
  const std::vector<VmName>& local_candidates =
      table_.OwnerCandidatesIn(endpoint.data_centre);
  const std::vector<VmName>& candidates =
      local_candidates.empty() ? table_.OwnerCandidates() : local_candidates;
  CachedOwners cached;
  cached.data_centre = endpoint.data_centre;
  cached.vms = RendezvousOrder(endpoint.name, candidates, cached_count);
  cached.complete = candidates.size() <= cached_count;
  std::vector<VmName> owners = cached.vms;
  owners.resize(std::min(count, owners.size()));
  if (owners_.size() >= kMaxCachedEndpoints) owners_.clear();
  owners_.insert_or_assign(endpoint.name, std::move(cached));
  return owners;
}

bool Membership::IsAmongFirstInDataCentre(std::string_view key,
                                          std::size_t count) const {
  DropStaleCache();
  auto found = first_in_data_centre_.find(key);
  if (found == first_in_data_centre_.end() || found->second.size() < count) {
    found =
        first_in_data_centre_
            .insert_or_assign(
                std::string(key),
                RendezvousOrder(
                    key, table_.OwnerCandidatesIn(table_.self().data_centre),
                    count))
            .first;
  }
  const auto end = found->second.begin() + static_cast<std::ptrdiff_t>(std::min(
                                               count, found->second.size()));
  return std::find(found->second.begin(), end, self()) != end;
}

void Membership::DropStaleCache() const {
  if (cached_revision_ == table_.revision()) return;
  cached_revision_ = table_.revision();
  owners_.clear();
  first_in_data_centre_.clear();
}

}  // namespace carawayhaven
