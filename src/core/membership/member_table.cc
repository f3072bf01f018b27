#include "core/membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carawayhaven {

MemberTable::MemberTable(VmRecord self) : self_(std::move(self)) {}

void MemberTable::SetSelf(VmState state, std::uint64_t incarnation) {
  if (self_.state != state) ++revision_;
  self_.state = state;
  self_.incarnation = incarnation;
  ++changes_;
}

bool MemberTable::Merge(const VmRecord& record, TimePoint now) {
  if (record.vm == self_.vm || record.vm.empty()) return false;
  const auto found = members_.find(record.vm);
  if (found == members_.end()) {
    if (members_.size() >= kMaxMembers) return false;
    members_.emplace(record.vm, Member{record, now, false});
    if (record.state == VmState::kAlive) ++revision_;
    ++changes_;
    return true;
  }
  VmRecord& held = found->second.record;
  if (std::tie(record.incarnation, record.state) <=
      std::tie(held.incarnation, held.state)) {
    if (record.incarnation == held.incarnation) {
      held.sequence = std::max(held.sequence, record.sequence);
    }
    return false;
  }
  // A restarted process with the same state still changes nothing about
  // ownership, unless it moved.
  const bool moved = record.data_centre != held.data_centre;
  if (record.state != held.state) found->second.changed = now;
  if (moved ||
      (record.state == VmState::kAlive) != (held.state == VmState::kAlive)) {
    ++revision_;
  }
  if (moved || record.state != held.state) ++changes_;
  held = record;
  return true;
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
  ++changes_;
}

const MemberTable::Member* MemberTable::Find(std::string_view vm) const {
  const auto found = members_.find(vm);
  return found == members_.end() ? nullptr : &found->second;
}

const std::vector<VmName>& MemberTable::Owners() const {
  Rebuild();
  return owners_;
}

const std::vector<VmName>& MemberTable::OwnersIn(
    std::string_view data_centre) const {
  static const std::vector<VmName> none;
  Rebuild();
  const auto found = owners_in_.find(data_centre);
  return found == owners_in_.end() ? none : found->second;
}

const std::vector<VmName>& MemberTable::Reachable() const {
  Rebuild();
  return reachable_;
}

void MemberTable::Rebuild() const {
  if (lists_valid()) return;
  built_ = changes_;
  owners_.clear();
  owners_in_.clear();
  reachable_.clear();
  const auto add_owner = [this](const VmRecord& record) {
    if (record.state != VmState::kAlive) return;
    owners_.push_back(record.vm);
    owners_in_[record.data_centre].push_back(record.vm);
  };
  add_owner(self_);
  for (const auto& [vm, member] : members_) {
    add_owner(member.record);
    if (member.record.state != VmState::kDead) reachable_.push_back(vm);
  }
  std::sort(owners_.begin(), owners_.end());
  for (auto& [data_centre, vms] : owners_in_) std::sort(vms.begin(), vms.end());
}

}  // namespace carawayhaven
