#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_OVERLOAD_TRACKER_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_OVERLOAD_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Decides from the reported loads which session VMs count as overloaded, with
/// hysteresis. It affects new sessions only. Not thread-safe.
class OverloadTracker {
 public:
  /// A VM with this load or more becomes overloaded: a quarter of the shortest
  /// latency objective of the target deployments (400 ms). Not measured.
  static constexpr std::uint32_t kOverloadedMs = 100;
  /// An overloaded VM with less than this load has recovered.
  static constexpr std::uint32_t kRecoveredMs = 30;
  /// Minimum time between two changes for a VM, so that a flapping load does
  /// not alternate the target of new sessions.
  static constexpr Duration kMinInterval = std::chrono::seconds(5);
  /// An older report counts as no load. In a data centre of 138 VMs a VM hears
  /// from each other one within 23 s.
  static constexpr Duration kReportLifetime = std::chrono::seconds(30);

  /// Applies the load that the VM reported at `reported_at`. Returns true if
  /// the VM became overloaded or recovered.
  bool Update(const VmName& vm, std::uint32_t load_ms, TimePoint reported_at,
              TimePoint now);
  /// Forgets the VMs that are not in `vms`.
  void Retain(const std::set<VmName>& vms);

  bool IsOverloaded(std::string_view vm) const;

 private:
  struct State {
    bool overloaded = false;
    TimePoint changed_at = TimePoint::min();
  };

  std::map<VmName, State, std::less<>> states_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_OVERLOAD_TRACKER_H_
