#include "core/membership/session_placement.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/membership/rendezvous.h"

namespace carawayhaven {
namespace {

constexpr char kPlacementKey[] = "sessions";

}  // namespace

std::size_t SessionPlacement::SessionVmCount(std::size_t vms) {
  return std::min(vms, std::max(kMinSessionVms, (vms + kVmsPerSessionVm - 1) /
                                                    kVmsPerSessionVm));
}

std::vector<VmName> SessionPlacement::VmsIn(
    const DataCentreName& data_centre) const {
  const std::vector<VmName>& owners = table_.OwnerCandidatesIn(data_centre);
  return RendezvousOrder(kPlacementKey, owners, SessionVmCount(owners.size()));
}

bool SessionPlacement::IsSessionVm() const {
  const std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  return std::find(vms.begin(), vms.end(), table_.self().vm) != vms.end();
}

bool SessionPlacement::IsFirstSessionVmInDataCentre() const {
  const std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  return !vms.empty() && vms.front() == table_.self().vm;
}

std::vector<VmName> SessionPlacement::RemoteSessionVms() const {
  std::set<DataCentreName> other_data_centres;
  for (const auto& [vm, member] : table_.members()) {
    other_data_centres.insert(member.record.data_centre);
  }
  other_data_centres.erase(table_.self().data_centre);
  std::vector<VmName> remote;
  for (const DataCentreName& data_centre : other_data_centres) {
    const std::vector<VmName> session_vms = VmsIn(data_centre);
    remote.insert(remote.end(), session_vms.begin(), session_vms.end());
  }
  return remote;
}

std::vector<VmName> SessionPlacement::OtherLocalSessionVms() const {
  std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  std::erase(vms, table_.self().vm);
  return vms;
}

std::vector<VmName> SessionPlacement::RelayTargets(std::size_t local,
                                                   std::size_t remote) const {
  const VmName& self = table_.self().vm;
  std::vector<VmName> targets =
      RendezvousOrder(self, OtherLocalSessionVms(), local);
  const std::size_t remote_count = remote + (local - targets.size());
  if (remote_count == 0) return targets;
  for (const VmName& vm :
       RendezvousOrder(self, RemoteSessionVms(), remote_count)) {
    targets.push_back(vm);
  }
  return targets;
}

std::vector<VmName> SessionPlacement::AllSessionVms() const {
  std::vector<VmName> vms = RemoteSessionVms();
  for (const VmName& vm : VmsIn(table_.self().data_centre)) vms.push_back(vm);
  std::sort(vms.begin(), vms.end());
  return vms;
}

std::size_t SessionPlacement::TotalSessionVmCount() const {
  std::map<DataCentreName, std::size_t> vms;
  ++vms[table_.self().data_centre];
  for (const auto& [vm, member] : table_.members()) {
    const VmState state = member.record.state;
    if (state == VmState::kAlive || state == VmState::kSuspected) {
      ++vms[member.record.data_centre];
    }
  }
  std::size_t count = 0;
  for (const auto& [data_centre, live] : vms) count += SessionVmCount(live);
  return count;
}

}  // namespace carawayhaven
