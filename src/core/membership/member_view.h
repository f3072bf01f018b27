#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_VIEW_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_VIEW_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Read access to the VMs that are believed to be alive. Not thread-safe.
class MemberView {
 public:
  virtual ~MemberView() = default;

  virtual const VmName& self_vm() const = 0;

  /// Returns the peers that are not dead, without this VM. Leaving VMs still
  /// serve and suspected ones mostly are alive, so both are included. Valid
  /// until the next event.
  virtual const std::vector<VmName>& Peers() const = 0;

  /// True when this VM is among the first `count` live, not leaving VMs of its
  /// data centre in rendezvous order of the key.
  virtual bool IsAmongFirstInDataCentre(std::string_view key,
                                        std::size_t count) const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBER_VIEW_H_
