#ifndef CARAWAYHAVEN_BENCH_VIRTUAL_EVENTS_H_
#define CARAWAYHAVEN_BENCH_VIRTUAL_EVENTS_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Event queue in virtual time. Events of the same time run in the order in
/// which they were added.
class VirtualEvents {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint at, std::function<void()> event) {
    events_.push({at, next_order_++, std::move(event)});
  }

  /// Advances the time to the next event and runs it. Returns false when the
  /// queue is empty.
  bool RunOne() {
    if (events_.empty()) return false;
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    return true;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  TimePoint now_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_BENCH_VIRTUAL_EVENTS_H_
