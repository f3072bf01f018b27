#ifndef CARAWAYHAVEN_CORE_SESSION_CONNECTION_SHARE_H_
#define CARAWAYHAVEN_CORE_SESSION_CONNECTION_SHARE_H_

#include <cstddef>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Divides the connections that an endpoint accepts among the VMs that run
/// sessions. Each VM counts these VMs from its own view, and the two sides of a
/// network partition must not each claim all connections. Not thread-safe.
class ConnectionShare {
 public:
  // Connections of an endpoint that stay free for the leader's probes and for
  // VMs that replace other VMs.
  static constexpr std::uint32_t kReservedConnections = 2;
  // A VM is still counted for this long after it was last seen: most partitions
  // and restarts are shorter, and endpoints keep the connections of a VM that
  // lost power for 3 s.
  static constexpr Duration kVmRetention = std::chrono::seconds(15);
  // A share up to this size is used in full. Of a larger share a third stays
  // unused, for VMs that start to run sessions before the VMs that they replace
  // have stopped.
  static constexpr std::uint32_t kMaxFullyUsedShare = 4;

  /// Sets the number of VMs that run sessions, as seen at `now`. A lower number
  /// is ignored until kVmRetention after the current number was last seen.
  /// Returns true if the number changes, and with it the limits.
  bool SetVmCount(std::size_t vm_count, TimePoint now);

  /// Returns how many connections this VM may have to an endpoint that accepts
  /// `connections`; at least one, and exactly one before the first SetVmCount.
  std::uint32_t LimitFor(std::uint32_t connections) const;

 private:
  std::size_t vm_count_ = 0;
  /// When at least `vm_count_` VMs were last seen.
  TimePoint count_seen_at_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CONNECTION_SHARE_H_
