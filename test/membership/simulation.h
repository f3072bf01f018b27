#ifndef CARAWAYHAVEN_TEST_MEMBERSHIP_SIMULATION_H_
#define CARAWAYHAVEN_TEST_MEMBERSHIP_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Event queue in virtual time. Events of the same time run in the order in
/// which they were added.
class Simulation {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint time, std::function<void()> run) {
    events_.push({std::max(time, now_), next_++, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().time <= end) {
      // The queue only provides const access. Moving from the event is safe
      // because it is removed immediately.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t number = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  // Not zero, so that an uninitialised time differs from the start.
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_MEMBERSHIP_SIMULATION_H_
