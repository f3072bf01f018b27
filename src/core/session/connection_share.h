#ifndef CARAWAYHAVEN_CORE_SESSION_CONNECTION_SHARE_H_
#define CARAWAYHAVEN_CORE_SESSION_CONNECTION_SHARE_H_

#include <cstddef>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Divides the connections that an endpoint accepts between the VMs that run
/// sessions. Each VM decides by itself how many others there are; two sides of
/// a partition must not both take everything. Not thread-safe.
class ConnectionShare {
 public:
  // Connections of an endpoint that stay free for probes of the duty holder and
  // for VMs that replace others.
  static constexpr std::uint32_t kReservedConnections = 2;
  // A VM counts for this long after it was last seen: a partition or a restart
  // is mostly over by then, and connections of a VM without power linger 3 s.
  static constexpr Duration kVmRetention = std::chrono::seconds(15);
  // Of a share above kMaxFullyUsedShare a third stays unused, for VMs that
  // start to run sessions for others before these stop to.
  static constexpr std::uint32_t kMaxFullyUsedShare = 4;

  /// Takes the number of VMs that run sessions, as seen now. Returns true when
  /// the limits change with it.
  bool SetVmCount(std::size_t vms, TimePoint now);

  /// Connections that this VM may have to an endpoint that accepts
  /// `connections`; at least one, and just one before the first SetVmCount.
  std::uint32_t LimitFor(std::uint32_t connections) const;

 private:
  std::size_t vms_ = 0;
  /// When there were last as many.
  TimePoint seen_at_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CONNECTION_SHARE_H_
