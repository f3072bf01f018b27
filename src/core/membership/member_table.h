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

/// Table of the newest record of each VM. A record replaces another of the same
/// VM when its incarnation is higher, or when the incarnation is equal and its
/// state is later in the order alive, leaving, suspected, dead. Not
/// thread-safe.
class MemberTable {
 public:
  struct Member {
    VmRecord record;
    /// Time of the last change of state.
    TimePoint state_changed_at;
    /// The VM is in the platform's list.
    bool listed = false;
    /// When the VM itself last sent its record, with its load.
    TimePoint reported_at = TimePoint::min();
  };
  using Members = std::map<VmName, Member, std::less<>>;

  /// Maximum size of the table; records of further VMs are ignored. Five times
  /// the design size, so that a peer that sends invented names cannot exhaust
  /// the memory.
  static constexpr std::size_t kMaxMembers = 4096;

  explicit MemberTable(VmRecord self);

  const VmRecord& self() const { return self_; }

  /// Replaces this VM's own state and incarnation.
  void SetOwnState(VmState state, std::uint64_t incarnation);
  /// Replaces this VM's own load and whether its routes list organisations.
  void SetOwnReport(std::uint32_t load_ms, bool has_organisations);
  void IncrementSequence() { ++self_.sequence; }

  /// Merges a record of another VM. Returns true when it was added or replaced
  /// the previous one, so that peers are to be notified.
  bool Merge(const VmRecord& record, TimePoint now);

  /// Takes the capacity, the load and whether there are organisations from a
  /// record that its VM itself sent; no effect when the VM is unknown or the
  /// record is of an earlier process. A VM of an earlier release passes records
  /// on without these, so Merge does not replace a known capacity by an unknown
  /// one and keeps the other two.
  void SetReported(const VmRecord& record, TimePoint now);

  /// Sets whether the VM is in the platform's list; no effect when unknown.
  void SetListed(std::string_view vm, bool listed);

  /// Removes a VM; no effect when unknown.
  void Remove(std::string_view vm);

  /// Returns the member, or null when unknown. This VM itself is not a member.
  /// Valid until the next change.
  const Member* Find(std::string_view vm) const;
  const Members& members() const { return members_; }

  /// Increases when a VM becomes able or unable to own pools, or changes its
  /// data centre.
  std::uint64_t revision() const { return revision_; }

  /// Returns the VMs in state alive, including this VM unless it is leaving,
  /// sorted by name. OwnerCandidatesIn returns only those in a data centre.
  /// Valid until the revision changes.
  const std::vector<VmName>& OwnerCandidates() const;
  const std::vector<VmName>& OwnerCandidatesIn(
      std::string_view data_centre) const;

  /// Returns the alive, leaving and suspected VMs, without this VM.
  const std::vector<VmName>& NonDeadPeers() const;

 private:
  void Rebuild() const;

  VmRecord self_;
  Members members_;
  std::uint64_t revision_ = 1;
  bool lists_valid() const { return lists_generation_ == generation_; }
  std::uint64_t generation_ = 1;
  mutable std::uint64_t lists_generation_ = 0;
  mutable std::vector<VmName> candidates_;
  mutable std::map<DataCentreName, std::vector<VmName>, std::less<>>
      candidates_in_;
  mutable std::vector<VmName> non_dead_peers_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_TABLE_H_
