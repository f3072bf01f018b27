#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_OWNER_RESOLVER_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_OWNER_RESOLVER_H_

#include <cstddef>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

struct EndpointConfig;

/// Determines the VM that owns the pool of an endpoint. Not thread-safe.
class OwnerResolver {
 public:
  virtual ~OwnerResolver() = default;

  /// Returns at most `count` VMs in rendezvous order. The first one is the
  /// owner; the following VMs are used when it cannot be reached. Empty when no
  /// VM is known to be alive.
  virtual std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                                       std::size_t count) const = 0;

  /// Returns this VM's name.
  virtual const VmName& self() const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_OWNER_RESOLVER_H_
