#ifndef CARAWAYHAVEN_CORE_ROUTE_RESOLVE_RESERVE_H_
#define CARAWAYHAVEN_CORE_ROUTE_RESOLVE_RESERVE_H_

#include <chrono>

#include "carawayhaven/time.h"

namespace carawayhaven {

struct ResolveReserveOptions {
  /// Number of response times in the reserve; zero disables the reserve.
  int response_times = 3;
  Duration max_reserve = std::chrono::seconds(1);
};

/// Part of the remaining time that a write keeps for a resolve, for the writes
/// of one service.
///
/// A resolve takes about as long as a short write, so the reserve is a multiple
/// of the measured response time, which leaves time for a second resolve after
/// a lost one. The reserve is at most half of the remaining time. It is zero
/// when half of the remaining time is too short for the write itself. Not
/// thread-safe.
class ResolveReserve {
 public:
  explicit ResolveReserve(ResolveReserveOptions options = {})
      : options_(options) {}

  /// Records the time from sending a write or a resolve to its answer.
  void OnAnswer(Duration took);

  /// Returns the mean plus two mean deviations of the recorded times.
  Duration ResponseTime() const { return mean_ + 2 * deviation_; }

  /// Returns the reserve for a write with that time left until its deadline.
  Duration For(Duration time_left) const;

 private:
  ResolveReserveOptions options_;
  // Initial values: a round trip between regions and a confirmation.
  Duration mean_ = std::chrono::milliseconds(80);
  Duration deviation_ = std::chrono::milliseconds(10);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_RESOLVE_RESERVE_H_
