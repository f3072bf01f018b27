#include "core/membership/session_placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/membership/rendezvous.h"

namespace carawayhaven {
namespace {

constexpr char kPlacementKey[] = "sessions";
// A VM is preferred if its capacity times this is at least the largest one.
// Among VMs of similar capacity the hash decides alone, so that small
// differences of the settings do not move sessions.
constexpr std::uint64_t kCapacityFactor = 2;

}  // namespace

std::size_t SessionPlacement::SessionVmCount(std::size_t vms) {
  return std::min(vms, std::max(kMinSessionVms, (vms + kVmsPerSessionVm - 1) /
                                                    kVmsPerSessionVm));
}

std::vector<VmName> SessionPlacement::Order(
    std::string_view key, std::span<const Candidate> candidates,
    std::size_t count) {
  std::vector<VmName> vms;
  std::vector<std::uint32_t> weights;
  bool known = true;
  for (const Candidate& candidate : candidates) {
    vms.push_back(candidate.vm);
    weights.push_back(candidate.capacity);
    known = known && candidate.capacity > 0;
  }
  return known ? WeightedRendezvousOrder(key, vms, weights, count)
               : RendezvousOrder(key, vms, count);
}

SessionPlacement::Selection SessionPlacement::Select(
    std::vector<Candidate> candidates) {
  const std::size_t total = candidates.size();
  const std::size_t count = SessionVmCount(total);
  const bool known =
      std::all_of(candidates.begin(), candidates.end(),
                  [](const Candidate& c) { return c.capacity > 0; });
  std::uint64_t total_capacity = 0;
  std::map<VmName, std::uint32_t> capacities;
  for (const Candidate& candidate : candidates) {
    total_capacity += candidate.capacity;
    capacities.emplace(candidate.vm, candidate.capacity);
  }
  Selection selection;
  std::uint64_t selected_capacity = 0;
  // True if the selected VMs have the capacity of `count` average VMs.
  const auto is_enough = [&] {
    return known && selected_capacity * total >= total_capacity * count;
  };
  while (selection.vms.size() < count) {
    const bool is_standby = is_enough();
    std::uint64_t largest = 0;
    for (const Candidate& candidate : candidates) {
      largest = std::max<std::uint64_t>(largest, candidate.capacity);
    }
    const auto others = std::partition(
        candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
          return candidate.capacity * kCapacityFactor >= largest || !known;
        });
    const std::vector<Candidate> preferred(candidates.begin(), others);
    candidates.erase(candidates.begin(), others);
    for (VmName& vm :
         Order(kPlacementKey, preferred, count - selection.vms.size())) {
      if (selection.vms.size() >= kMinSessionVms && is_enough()) {
        return selection;
      }
      const std::uint32_t capacity = capacities[vm];
      selected_capacity += capacity;
      selection.vms.push_back({std::move(vm), capacity});
      if (!is_standby) ++selection.needed;
    }
  }
  return selection;
}

SessionPlacement::Candidate SessionPlacement::CandidateOf(
    const VmName& vm) const {
  const MemberTable::Member* member = table_.Find(vm);
  return {vm,
          member == nullptr ? table_.self().capacity : member->record.capacity};
}

SessionPlacement::Selection SessionPlacement::SelectIn(
    const DataCentreName& data_centre) const {
  std::vector<Candidate> candidates;
  for (const VmName& vm : table_.OwnerCandidatesIn(data_centre)) {
    candidates.push_back(CandidateOf(vm));
  }
  return Select(std::move(candidates));
}

std::vector<VmName> SessionPlacement::VmsIn(
    const DataCentreName& data_centre) const {
  std::vector<VmName> vms;
  for (Candidate& candidate : SelectIn(data_centre).vms) {
    vms.push_back(std::move(candidate.vm));
  }
  return vms;
}

bool SessionPlacement::IsSessionVm() const {
  const std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  return std::find(vms.begin(), vms.end(), table_.self().vm) != vms.end();
}

bool SessionPlacement::IsFirstSessionVmInDataCentre() const {
  const std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  return !vms.empty() && vms.front() == table_.self().vm;
}

std::set<DataCentreName> SessionPlacement::OtherDataCentres() const {
  std::set<DataCentreName> data_centres;
  for (const auto& [vm, member] : table_.members()) {
    data_centres.insert(member.record.data_centre);
  }
  data_centres.erase(table_.self().data_centre);
  return data_centres;
}

std::vector<VmName> SessionPlacement::RemoteSessionVms() const {
  std::vector<VmName> remote;
  for (const DataCentreName& data_centre : OtherDataCentres()) {
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
                                                   std::size_t remote,
                                                   std::string_view key) const {
  const VmName& self = table_.self().vm;
  if (key.empty()) key = self;
  std::vector<Candidate> needed;
  std::vector<Candidate> standby;
  const auto add = [&](const DataCentreName& data_centre) {
    const Selection selection = SelectIn(data_centre);
    for (std::size_t i = 0; i < selection.vms.size(); ++i) {
      if (selection.vms[i].vm == self) continue;
      (i < selection.needed ? needed : standby).push_back(selection.vms[i]);
    }
  };
  add(table_.self().data_centre);
  std::vector<VmName> targets = Order(key, needed, needed.size());
  for (VmName& vm : Order(key, standby, standby.size())) {
    targets.push_back(std::move(vm));
  }
  std::stable_partition(targets.begin(), targets.end(),
                        [this](const auto& vm) { return !IsOverloaded(vm); });
  targets.resize(std::min(local, targets.size()));
  const std::size_t remote_count = remote + (local - targets.size());
  if (remote_count == 0) return targets;
  needed.clear();
  standby.clear();
  for (const DataCentreName& data_centre : OtherDataCentres()) add(data_centre);
  for (const auto* group : {&needed, &standby}) {
    const std::size_t missing = local + remote - targets.size();
    for (VmName& vm : Order(self, *group, missing)) {
      targets.push_back(std::move(vm));
    }
  }
  return targets;
}

std::vector<VmName> SessionPlacement::UpdateOverload(TimePoint now) {
  std::vector<VmName> changed;
  const std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  for (const VmName& vm : vms) {
    const MemberTable::Member* member = table_.Find(vm);
    const VmRecord& record = member == nullptr ? table_.self() : member->record;
    const std::uint32_t load = record.capacity > 0 ? record.load_ms : 0;
    const TimePoint reported_at = member == nullptr ? now : member->reported_at;
    if (overload_.Update(vm, load, reported_at, now)) changed.push_back(vm);
  }
  overload_.Retain({vms.begin(), vms.end()});
  return changed;
}

bool SessionPlacement::HasOrganisations() const {
  const std::vector<VmName> vms = VmsIn(table_.self().data_centre);
  return std::any_of(vms.begin(), vms.end(), [this](const VmName& vm) {
    const MemberTable::Member* member = table_.Find(vm);
    return member == nullptr ? table_.self().has_organisations
                             : member->record.has_organisations;
  });
}

std::vector<VmName> SessionPlacement::AllSessionVms() const {
  std::vector<VmName> vms = RemoteSessionVms();
  for (const VmName& vm : VmsIn(table_.self().data_centre)) vms.push_back(vm);
  std::sort(vms.begin(), vms.end());
  return vms;
}

std::size_t SessionPlacement::TotalSessionVmCount() const {
  std::map<DataCentreName, std::vector<Candidate>> vms;
  vms[table_.self().data_centre].push_back(CandidateOf(table_.self().vm));
  for (const auto& [vm, member] : table_.members()) {
    const VmState state = member.record.state;
    if (state == VmState::kAlive || state == VmState::kSuspected) {
      vms[member.record.data_centre].push_back({vm, member.record.capacity});
    }
  }
  std::size_t count = 0;
  for (auto& [data_centre, live] : vms) {
    count += Select(std::move(live)).vms.size();
  }
  return count;
}

}  // namespace carawayhaven
