#include "core/membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carawayhaven {

MemberTable::MemberTable(VmRecord self) : self_(std::move(self)) {}

void MemberTable::SetOwnState(VmState state, std::uint64_t incarnation) {
  if (self_.state != state) ++revision_;
  self_.state = state;
  self_.incarnation = incarnation;
  ++generation_;
}

void MemberTable::SetOwnReport(std::uint32_t load_ms, bool has_organisations) {
  self_.load_ms = load_ms;
  self_.has_organisations = has_organisations;
}

bool MemberTable::Merge(const VmRecord& record, TimePoint now) {
  if (record.vm == self_.vm || record.vm.empty()) return false;
  const auto found = members_.find(record.vm);
  if (found == members_.end()) {
    if (members_.size() >= kMaxMembers) return false;
    members_.emplace(record.vm, Member{record, now});
    if (record.state == VmState::kAlive) ++revision_;
    ++generation_;
    return true;
  }
  VmRecord& existing = found->second.record;
  if (std::tie(record.incarnation, record.state) <=
      std::tie(existing.incarnation, existing.state)) {
    if (record.incarnation == existing.incarnation) {
      existing.sequence = std::max(existing.sequence, record.sequence);
      if (existing.capacity == 0) existing.capacity = record.capacity;
    }
    return false;
  }
  // A restarted process in the same state does not affect ownership, unless its
  // data centre differs.
  const bool moved = record.data_centre != existing.data_centre;
  if (record.state != existing.state) found->second.state_changed_at = now;
  if (moved || (record.state == VmState::kAlive) !=
                   (existing.state == VmState::kAlive)) {
    ++revision_;
  }
  if (moved || record.state != existing.state) ++generation_;
  const VmRecord previous = std::exchange(existing, record);
  if (existing.capacity == 0) existing.capacity = previous.capacity;
  existing.load_ms = previous.load_ms;
  existing.has_organisations = previous.has_organisations;
  return true;
}

void MemberTable::SetReported(const VmRecord& record, TimePoint now) {
  const auto found = members_.find(record.vm);
  if (found == members_.end()) return;
  VmRecord& existing = found->second.record;
  if (record.incarnation < existing.incarnation) return;
  existing.capacity = record.capacity;
  existing.load_ms = record.load_ms;
  existing.has_organisations = record.has_organisations;
  found->second.reported_at = now;
}

void MemberTable::SetListed(std::string_view vm, bool listed) {
  const auto found = members_.find(vm);
  if (found != members_.end()) found->second.listed = listed;
}

void MemberTable::Remove(std::string_view vm) {
  const auto found = members_.find(vm);
  if (found == members_.end()) return;
  if (found->second.record.state == VmState::kAlive) ++revision_;
  members_.erase(found);
  ++generation_;
}

const MemberTable::Member* MemberTable::Find(std::string_view vm) const {
  const auto found = members_.find(vm);
  return found == members_.end() ? nullptr : &found->second;
}

const std::vector<VmName>& MemberTable::OwnerCandidates() const {
  Rebuild();
  return candidates_;
}

const std::vector<VmName>& MemberTable::OwnerCandidatesIn(
    std::string_view data_centre) const {
  static const std::vector<VmName> none;
  Rebuild();
  const auto found = candidates_in_.find(data_centre);
  return found == candidates_in_.end() ? none : found->second;
}

const std::vector<VmName>& MemberTable::NonDeadPeers() const {
  Rebuild();
  return non_dead_peers_;
}

void MemberTable::Rebuild() const {
  if (lists_valid()) return;
  lists_generation_ = generation_;
  candidates_.clear();
  candidates_in_.clear();
  non_dead_peers_.clear();
  const auto add_owner = [this](const VmRecord& record) {
    if (record.state != VmState::kAlive) return;
    candidates_.push_back(record.vm);
    candidates_in_[record.data_centre].push_back(record.vm);
  };
  add_owner(self_);
  for (const auto& [vm, member] : members_) {
    add_owner(member.record);
    if (member.record.state != VmState::kDead) non_dead_peers_.push_back(vm);
  }
  std::sort(candidates_.begin(), candidates_.end());
  for (auto& [name, vms] : candidates_in_) std::sort(vms.begin(), vms.end());
}

}  // namespace carawayhaven
