#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_VIEW_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_VIEW_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Read access to the VMs that are not known to be dead. Not thread-safe.
class MemberView {
 public:
  virtual ~MemberView() = default;

  virtual const VmName& self_vm() const = 0;

  /// Returns the peers that are not dead, without this VM. Includes leaving
  /// VMs, which still serve requests, and suspected VMs, most of which are
  /// alive. Valid until the next event.
  virtual const std::vector<VmName>& Peers() const = 0;

  /// True when this VM is among the first `count` VMs of its data centre in
  /// rendezvous order for the key. Only VMs in state alive are considered.
  virtual bool IsAmongFirstInDataCentre(std::string_view key,
                                        std::size_t count) const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_VIEW_H_
