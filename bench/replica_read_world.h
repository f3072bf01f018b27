#ifndef CARAWAYHAVEN_BENCH_REPLICA_READ_WORLD_H_
#define CARAWAYHAVEN_BENCH_REPLICA_READ_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"

namespace carawayhaven::replica_read {

using std::chrono::milliseconds;

/// True state of a group in term 1, with endpoint 0 as primary. At time t a
/// replica holds the log that the primary had at t - lag(t); the lag varies by
/// 20% around its mean with a period of 7 s.
class Group {
 public:
  explicit Group(Duration lag) : lag_(lag) {}

  /// Appends a commit and returns its log index. Times must not decrease.
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

  /// True when the replica is within `max_age` and holds `min_position`.
  bool Serves(std::size_t replica, TimePoint at, LogPosition min_position,
              Duration max_age) const {
    return LagOf(replica, at) <= max_age &&
           ReplicaIndex(replica, at) >= min_position.index;
  }

  /// First time, in steps of 1 ms, at which a replica holds what was committed
  /// at `committed`.
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

/// Latencies of the reads under one policy, and how many a replica served.
class ReadTally {
 public:
  void Add(bool from_replica, Duration latency) {
    if (from_replica) ++from_replica_;
    latencies_.push_back(latency);
  }
  double ReplicaShare() const {
    return latencies_.empty() ? 0
                              : static_cast<double>(from_replica_) /
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

  std::size_t from_replica_ = 0;
  std::vector<Duration> latencies_;
};

}  // namespace carawayhaven::replica_read

#endif  // CARAWAYHAVEN_BENCH_REPLICA_READ_WORLD_H_
