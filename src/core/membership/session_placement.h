#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_PLACEMENT_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_PLACEMENT_H_

#include <cstddef>
#include <vector>

#include "core/membership/member_table.h"

namespace carawayhaven {

/// Decides which VMs run callers' sessions. An endpoint accepts fewer
/// connections than a large deployment has VMs, and each VM that uses endpoints
/// costs calls to the store, so some VMs of each data centre run the sessions
/// and the others relay theirs. In a small data centre all VMs run sessions.
/// Not thread-safe.
class SessionPlacement {
 public:
  // Below that a lost VM would take half of a data centre's sessions along.
  static constexpr std::size_t kMinSessionVms = 2;
  // VMs of a data centre that share one VM for sessions. With 87 VMs and 53
  // connections an endpoint this leaves four connections to each of 12 VMs.
  static constexpr std::size_t kVmsPerSessionVm = 8;

  /// `table` must outlive the placement.
  explicit SessionPlacement(const MemberTable& table) : table_(table) {}

  /// Number of VMs that run sessions in a data centre with `vms` VMs.
  static std::size_t SessionVmCount(std::size_t vms);

  /// True when this VM runs sessions.
  bool IsSessionVm() const;

  /// True for one of the VMs of this data centre that run sessions.
  bool IsFirstSessionVmInDataCentre() const;

  /// Returns the VMs that this VM relays to, the preferred first: up to `local`
  /// ones of its own data centre, or as many others when there are none, and
  /// then up to `remote` ones of other data centres.
  std::vector<VmName> RelayTargets(std::size_t local, std::size_t remote) const;

  /// Returns the VMs of all data centres that run sessions, in an order that is
  /// the same on each VM.
  std::vector<VmName> AllSessionVms() const;

  /// Returns the VMs of this data centre that run sessions, without this one.
  std::vector<VmName> OtherLocalSessionVms() const;

  /// Number of VMs that run sessions in all data centres, at least one.
  std::size_t TotalSessionVmCount() const;

 private:
  std::vector<VmName> RemoteSessionVms() const;
  std::vector<VmName> SessionVmsIn(const DataCentreName& data_centre) const;

  const MemberTable& table_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_SESSION_PLACEMENT_H_
