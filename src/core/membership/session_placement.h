#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_PLACEMENT_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "core/membership/member_table.h"
#include "core/membership/overload_tracker.h"

namespace carawayhaven {

/// Selects the VMs that run callers' sessions. An endpoint accepts fewer
/// connections than a large deployment has VMs, and each VM that uses endpoints
/// adds calls to the store. Therefore only some VMs of each data centre run
/// sessions; the other VMs relay the sessions of their callers to them. In a
/// small data centre all VMs run sessions.
///
/// If the capacities of all VMs of a data centre are known, the VMs whose
/// capacity is at least half of the largest come first, in weighted rendezvous
/// order. Otherwise all VMs of the data centre count as equal, as in earlier
/// releases, so that VMs of both releases select the same VMs. Not thread-safe.
class SessionPlacement {
 public:
  // With two VMs the loss of one affects half of the data centre's sessions;
  // with one it would affect all of them.
  static constexpr std::size_t kMinSessionVms = 2;
  // One of this many VMs of a data centre runs sessions. With 87 VMs and 53
  // connections per endpoint, each of 12 VMs gets four connections.
  static constexpr std::size_t kVmsPerSessionVm = 8;

  /// `table` must outlive the placement.
  explicit SessionPlacement(const MemberTable& table) : table_(table) {}

  /// Returns the number of VMs that run sessions in a data centre of `vms` VMs
  /// of equal capacity.
  static std::size_t SessionVmCount(std::size_t vms);

  /// True when this VM runs sessions.
  bool IsSessionVm() const;

  /// True for exactly one of the VMs of this data centre that run sessions: the
  /// first one in rendezvous order.
  bool IsFirstSessionVmInDataCentre() const;

  /// Returns the VMs to which this VM relays sessions, in order of preference:
  /// up to `local` VMs of its own data centre, followed by VMs of other data
  /// centres, up to `remote` plus the number that its own data centre lacks.
  /// All VMs choose the same order in a data centre for the same `key`; if it
  /// is empty, the order depends on this VM. Overloaded VMs of the own data
  /// centre follow its other ones.
  std::vector<VmName> RelayTargets(std::size_t local, std::size_t remote,
                                   std::string_view key = {}) const;

  /// Updates which session VMs of this data centre count as overloaded, and
  /// returns those that changed. A VM without a known capacity never does.
  std::vector<VmName> UpdateOverload(TimePoint now);
  bool IsOverloaded(std::string_view vm) const {
    return overload_.IsOverloaded(vm);
  }

  /// True if a session VM of this data centre reports organisations.
  bool HasOrganisations() const;

  /// Returns the VMs of all data centres that run sessions, sorted by name, so
  /// that the order is the same on each VM.
  std::vector<VmName> AllSessionVms() const;

  /// Returns the VMs of this data centre that run sessions, without this VM.
  std::vector<VmName> OtherLocalSessionVms() const;

  /// Returns the number of VMs that run sessions in all data centres, at least
  /// one. Counts suspected VMs as running.
  std::size_t TotalSessionVmCount() const;

 private:
  struct Candidate {
    VmName vm;
    /// Zero if it is not known.
    std::uint32_t capacity = 0;
  };
  /// The VMs that run sessions in a data centre, in order of preference.
  struct Selection {
    std::vector<Candidate> vms;
    /// The first ones, which have the capacity for all sessions of the data
    /// centre. The others take sessions only when these cannot.
    std::size_t needed = 0;
  };

  static Selection Select(std::vector<Candidate> candidates);
  static std::vector<VmName> Order(std::string_view key,
                                   std::span<const Candidate> candidates,
                                   std::size_t count);
  Candidate CandidateOf(const VmName& vm) const;
  Selection SelectIn(const DataCentreName& data_centre) const;
  std::set<DataCentreName> OtherDataCentres() const;
  std::vector<VmName> RemoteSessionVms() const;
  std::vector<VmName> VmsIn(const DataCentreName& data_centre) const;

  const MemberTable& table_;
  OverloadTracker overload_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_PLACEMENT_H_
