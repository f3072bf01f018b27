#ifndef CARAWAYHAVEN_TIME_H_
#define CARAWAYHAVEN_TIME_H_

#include <chrono>

namespace carawayhaven {

using Duration = std::chrono::microseconds;

/// Time base of the proxy. It has no now(): the driver of the core passes the
/// current time with each event, so that tests can run in virtual time.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

using TimePoint = MonotonicClock::time_point;

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TIME_H_
