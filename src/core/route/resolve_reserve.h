#ifndef CARAWAYHAVEN_CORE_ROUTE_RESOLVE_RESERVE_H_
#define CARAWAYHAVEN_CORE_ROUTE_RESOLVE_RESERVE_H_

#include <chrono>

#include "carawayhaven/time.h"

namespace carawayhaven {

struct ResolveReserveOptions {
  /// Response times that the reserve holds; zero: no reserve.
  int response_times = 3;
  Duration max_reserve = std::chrono::seconds(1);
};

/// Part of the time left that a write of one service keeps for a resolve.
///
/// A resolve takes about as long as a short write, so the reserve is a multiple
/// of the measured response times: room for a second try after a lost one. It
/// is never more than half of the time left, and nothing when half would be
/// too short for the write itself. Not thread-safe.
class ResolveReserve {
 public:
  explicit ResolveReserve(ResolveReserveOptions options = {})
      : options_(options) {}

  /// Takes the time from sending a write or a resolve to its answer.
  void OnAnswer(Duration took);

  /// Returns the mean plus two mean deviations of the response times.
  Duration ResponseTime() const { return mean_ + 2 * deviation_; }

  Duration Of(Duration left) const;

 private:
  ResolveReserveOptions options_;
  // Start values: a round trip between regions and a confirmation.
  Duration mean_ = std::chrono::milliseconds(80);
  Duration deviation_ = std::chrono::milliseconds(10);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_RESOLVE_RESERVE_H_
