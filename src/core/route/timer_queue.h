#ifndef CARAWAYHAVEN_CORE_ROUTE_TIMER_QUEUE_H_
#define CARAWAYHAVEN_CORE_ROUTE_TIMER_QUEUE_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "carawayhaven/time.h"
#include "core/route/forwarder.h"

namespace carawayhaven {

/// One timer for each request, ordered by time. Set, Cancel and TakeDue take
/// logarithmic time, Next takes constant time. Not thread-safe.
class TimerQueue {
 public:
  /// Sets the request's timer and replaces an earlier one.
  void Set(RequestKey key, TimePoint at) {
    Cancel(key);
    order_.emplace(at, key);
    times_.emplace(key, at);
  }

  /// Moves the request's timer to `at` unless it is due earlier. Does nothing
  /// when the request has no timer.
  void SetNoLaterThan(RequestKey key, TimePoint at) {
    const auto found = times_.find(key);
    if (found != times_.end() && found->second > at) Set(key, at);
  }

  void Cancel(RequestKey key) {
    const auto found = times_.find(key);
    if (found == times_.end()) return;
    order_.erase({found->second, key});
    times_.erase(found);
  }

  /// Removes and returns the request with the earliest timer that is due at
  /// `now`; returns nothing when none is due.
  std::optional<RequestKey> TakeDue(TimePoint now) {
    if (order_.empty() || order_.begin()->first > now) return std::nullopt;
    const RequestKey key = order_.begin()->second;
    Cancel(key);
    return key;
  }

  /// Returns the earliest time, or TimePoint::max() when there is none.
  TimePoint Next() const {
    return order_.empty() ? TimePoint::max() : order_.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, RequestKey>> order_;
  std::unordered_map<RequestKey, TimePoint> times_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_TIMER_QUEUE_H_
