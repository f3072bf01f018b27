#ifndef CARAWAYHAVEN_BENCH_REPLICA_READ_WORLD_H_
#define CARAWAYHAVEN_BENCH_REPLICA_READ_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <numbers>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"

namespace carawayhaven::replica_read {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Events in virtual time; equal times keep their order of arrival.
class EventQueue {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint at, std::function<void()> event) {
    events_.push({at, next_++, std::move(event)});
  }

  /// Runs the next event. Returns false when there is none.
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
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

/// True state of a group in term 1. Replica r holds at time t what the primary
/// had at t - lag(t); the lag varies by a fifth over 7 s.
class Group {
 public:
  explicit Group(Duration lag) : lag_(lag) {}

  std::uint64_t Commit(TimePoint at) {
    commits_.push_back(at);
    return commits_.size();
  }

  std::uint64_t PrimaryIndex(TimePoint at) const {
    return static_cast<std::uint64_t>(
        std::upper_bound(commits_.begin(), commits_.end(), at) -
        commits_.begin());
  }

  Duration LagOf(std::size_t replica, TimePoint at) const {
    constexpr double kPeriodSeconds = 7;
    constexpr double kVariation = 0.2;
    const double time =
        std::chrono::duration<double>(at.time_since_epoch()).count();
    const double phase = 2 * std::numbers::pi * time / kPeriodSeconds;
    const double factor =
        1 + kVariation * std::sin(phase + 2 * static_cast<double>(replica));
    return Duration(
        static_cast<Duration::rep>(factor * static_cast<double>(lag_.count())));
  }

  std::uint64_t ReplicaIndex(std::size_t replica, TimePoint at) const {
    return PrimaryIndex(at - LagOf(replica, at));
  }

  bool Serves(std::size_t replica, TimePoint at, LogPosition token,
              Duration max_age) const {
    return LagOf(replica, at) <= max_age &&
           ReplicaIndex(replica, at) >= token.index;
  }

  /// Time at which the first replica holds what was committed at that time.
  TimePoint ReplicatedAt(TimePoint committed) const {
    TimePoint at = committed;
    while (at - LagOf(1, at) < committed && at - LagOf(2, at) < committed) {
      at += milliseconds(1);
    }
    return at;
  }

 private:
  Duration lag_;
  std::vector<TimePoint> commits_;
};

/// Read latencies and places under one policy.
class ReadTally {
 public:
  void Add(bool from_replica, Duration latency) {
    if (from_replica) ++replica_;
    latencies_.push_back(latency);
  }
  double Share() const {
    return latencies_.empty() ? 0
                              : static_cast<double>(replica_) /
                                    static_cast<double>(latencies_.size());
  }
  double MeanMs() const {
    double sum = 0;
    for (const Duration latency : latencies_) sum += Ms(latency);
    return latencies_.empty() ? 0
                              : sum / static_cast<double>(latencies_.size());
  }
  double P99Ms() const {
    std::vector<Duration> sorted = latencies_;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0 : Ms(sorted[sorted.size() * 99 / 100]);
  }
  std::size_t count() const { return latencies_.size(); }

 private:
  static double Ms(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  }

  std::size_t replica_ = 0;
  std::vector<Duration> latencies_;
};

}  // namespace carawayhaven::replica_read

#endif  // CARAWAYHAVEN_BENCH_REPLICA_READ_WORLD_H_
