#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_LOAD_METER_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_LOAD_METER_H_

#include <cstddef>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Smooths how late the rounds of the event loop end compared with their
/// timers. This covers a processor that is busy or withheld as well as long
/// rounds, and needs no timer of its own. Not thread-safe.
class LoadMeter {
 public:
  /// A longer delay counts as this one: after a suspension of the VM a single
  /// delay may be arbitrarily long, and one window must not make the VM count
  /// as overloaded (OverloadTracker::kOverloadedMs).
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(300);
  /// Share of a new window's mean in the smoothed figure. With windows of
  /// 250 ms the figure follows a lasting change within about one second.
  static constexpr double kNewWindowShare = 0.25;

  /// Adds the delay of one round.
  void AddDelay(Duration delay);
  /// Ends a window. A window without a delay does not change the figure.
  void EndWindow();

  /// Returns the smoothed delay in ms.
  std::uint32_t load_ms() const { return static_cast<std::uint32_t>(load_ms_); }

 private:
  Duration sum_{0};
  std::size_t delays_ = 0;
  double load_ms_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_LOAD_METER_H_
