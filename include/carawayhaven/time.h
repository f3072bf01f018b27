#ifndef CARAWAYHAVEN_TIME_H_
#define CARAWAYHAVEN_TIME_H_

#include <chrono>

namespace carawayhaven {

using Duration = std::chrono::microseconds;

/// Monotonic time of the proxy. It has no now(): the code that drives the core
/// passes the current time with each event, so that tests can use virtual time.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

using TimePoint = MonotonicClock::time_point;

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TIME_H_
