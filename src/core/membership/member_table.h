#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_TABLE_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// The newest record of each VM. A record replaces another of the same VM when
/// its incarnation is higher, or the incarnation is the same and its state is
/// later in the order alive, leaving, suspected, dead. Not thread-safe.
class MemberTable {
 public:
  struct Member {
    VmRecord record;
    /// Time of the last change of state.
    TimePoint state_changed_at;
    /// The platform's list names the VM.
    bool listed = false;
  };
  using Members = std::map<VmName, Member, std::less<>>;

  /// Bound on the table: records of further VMs are ignored. Five times the
  /// size designed for, so that a peer that sends made-up names does not use
  /// up the memory.
  static constexpr std::size_t kMaxMembers = 4096;

  explicit MemberTable(VmRecord self);

  const VmRecord& self() const { return self_; }

  /// Replaces this VM's own state and incarnation.
  void SetOwnState(VmState state, std::uint64_t incarnation);
  void IncrementSequence() { ++self_.sequence; }

  /// Takes a record about another VM. Returns true when it replaced the one
  /// held, so that it is news to others.
  bool Merge(const VmRecord& record, TimePoint now);

  /// Marks the VM as named by the platform's list, or not.
  void SetListed(std::string_view vm, bool listed);

  /// Removes a VM; no effect when it is unknown.
  void Remove(std::string_view vm);

  /// Returns the member, or null. This VM itself is no member. Valid until the
  /// next change.
  const Member* Find(std::string_view vm) const;
  const Members& members() const { return members_; }

  /// Rises when a VM starts or ceases to be able to own pools.
  std::uint64_t revision() const { return revision_; }

  /// Returns the alive, not leaving VMs with this VM, sorted by name; with a
  /// data centre only those in it. Valid until the revision changes.
  const std::vector<VmName>& OwnerCandidates() const;
  const std::vector<VmName>& OwnerCandidatesIn(
      std::string_view data_centre) const;

  /// Returns the alive, leaving and suspected VMs without this VM.
  const std::vector<VmName>& NonDeadPeers() const;

 private:
  void Rebuild() const;

  VmRecord self_;
  Members members_;
  std::uint64_t revision_ = 1;
  bool lists_valid() const { return lists_generation_ == generation_; }
  std::uint64_t generation_ = 1;
  mutable std::uint64_t lists_generation_ = 0;
  mutable std::vector<VmName> owner_candidates_;
  mutable std::map<DataCentreName, std::vector<VmName>, std::less<>>
      owner_candidates_in_;
  mutable std::vector<VmName> non_dead_peers_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_TABLE_H_
