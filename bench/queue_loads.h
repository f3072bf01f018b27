#ifndef CARAWAYHAVEN_BENCH_QUEUE_LOADS_H_
#define CARAWAYHAVEN_BENCH_QUEUE_LOADS_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "pool_run.h"

namespace carawayhaven::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeed = 20261204;
constexpr Duration kRoundTrip = 2 * SimulatedEndpoint::kOneWay;

inline Duration Exponential(std::mt19937_64& random, double mean_us) {
  return Duration(
      std::llround(std::exponential_distribution<double>(1 / mean_us)(random)));
}

inline double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

// Head-of-line blocking.

constexpr double kShortMeanUs = 4000;
constexpr int kStragglerTexts = 50;
constexpr Duration kShortTimeLeft = seconds(5);
constexpr Duration kLongTimeLeft = seconds(60);
constexpr Duration kBlockingRunTime = seconds(120);

/// Short work that takes `load` of all slots, and `straggler_share` of the
/// requests as stragglers in addition. The short work is the same for every
/// share. A straggler runs 20 to 200 times as long as the mean of short work,
/// with a fixed factor for each of its texts.
inline std::vector<Sample> BlockingSamples(std::uint32_t slots, double load,
                                           double straggler_share,
                                           std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Sample> samples;
  const double gap_us =
      (kShortMeanUs + static_cast<double>(kRoundTrip.count())) / (load * slots);
  for (Duration at = milliseconds(100); at < kBlockingRunTime;
       at += Exponential(random, gap_us)) {
    Sample sample;
    sample.arrival = TimePoint(at);
    sample.run_time = Duration(1000) + Exponential(random, kShortMeanUs - 1000);
    sample.time_left = kShortTimeLeft;
    sample.team = random() % 2 == 0 ? "a" : "b";
    sample.statement = "short " + std::to_string(random() % 5);
    samples.push_back(sample);
  }
  if (straggler_share == 0) return samples;
  std::mt19937_64 straggler_random(seed + 1);
  const double straggler_gap_us =
      gap_us * (1 - straggler_share) / straggler_share;
  for (Duration at = milliseconds(100); at < kBlockingRunTime;
       at += Exponential(straggler_random, straggler_gap_us)) {
    const auto text = static_cast<double>(straggler_random() % kStragglerTexts);
    const double factor = 20 * std::pow(10, text / (kStragglerTexts - 1));
    Sample sample;
    sample.arrival = TimePoint(at);
    sample.run_time = Duration(std::llround(kShortMeanUs * factor));
    sample.time_left = kLongTimeLeft;
    sample.team = straggler_random() % 2 == 0 ? "a" : "b";
    sample.statement = "long " + std::to_string(text);
    sample.is_long = true;
    samples.push_back(sample);
  }
  std::stable_sort(
      samples.begin(), samples.end(),
      [](const Sample& a, const Sample& b) { return a.arrival < b.arrival; });
  return samples;
}

struct BlockingResult {
  double short_p99_ms = 0;
  std::size_t long_ran = 0;
  std::size_t long_refused = 0;
  /// Accepted stragglers that did not run before their deadline.
  std::size_t starved = 0;
  /// Longest time from the arrival of a straggler to its end.
  double longest_straggler_s = 0;
  std::uint64_t busy = 0;
};

inline BlockingResult RunBlocking(std::uint32_t slots, double load,
                                  double share, const QueuePolicy& policy,
                                  std::uint64_t seed) {
  const RunResult run =
      RunPool(BlockingSamples(slots, load, share, seed), slots, policy);
  BlockingResult result;
  result.busy = run.busy;
  std::vector<Duration> short_latencies;
  for (const Sample& sample : run.samples) {
    if (!sample.is_long) {
      short_latencies.push_back(sample.ran ? sample.latency() : seconds(999));
    } else if (sample.ran) {
      ++result.long_ran;
      result.longest_straggler_s = std::max(
          result.longest_straggler_s, Milliseconds(sample.latency()) / 1000);
    } else if (sample.reason == Reason::kOverloaded) {
      ++result.long_refused;
    } else {
      ++result.starved;
    }
  }
  result.short_p99_ms = Milliseconds(Quantile(short_latencies, 0.99));
  return result;
}

// Peak of demand.

constexpr Duration kPeakTimeLeft = milliseconds(500);
constexpr Duration kWindow = seconds(1);
constexpr Duration kRampStart = seconds(10);
constexpr Duration kPeakStart = seconds(12);
constexpr Duration kPeakEnd = seconds(16);
constexpr Duration kRampEnd = seconds(18);
constexpr Duration kPeakRunTime = seconds(30);
constexpr double kNormalDemand = 0.7;
// Share of each of the four teams in the demand. At the peak the demand of each
// exceeds its fair share, a quarter of the capacity.
constexpr double kTeamDemand[] = {0.1, 0.2, 0.3, 0.4};

/// Demand as a multiple of the capacity: normal, then a ramp from 1x to 5x in
/// 2 s, 4 s at 5x, a ramp back to 1x in 2 s, then normal again.
inline double DemandAt(Duration at) {
  const auto part = [at](Duration from, Duration to) {
    return static_cast<double>((at - from).count()) /
           static_cast<double>((to - from).count());
  };
  if (at < kRampStart || at >= kRampEnd) return kNormalDemand;
  if (at < kPeakStart) return 1 + 4 * part(kRampStart, kPeakStart);
  if (at < kPeakEnd) return 5;
  return 5 - 4 * part(kPeakEnd, kRampEnd);
}

inline std::vector<Sample> PeakSamples(std::uint32_t slots,
                                       std::uint64_t seed) {
  std::mt19937_64 random(seed + 2);
  std::discrete_distribution<int> team(std::begin(kTeamDemand),
                                       std::end(kTeamDemand));
  // Mean run times of the three statements: a check-in, a reservation and a
  // view of availability.
  const double run_means_us[] = {2000, 4000, 6000};
  std::vector<Sample> samples;
  const double gap_us =
      (kShortMeanUs + static_cast<double>(kRoundTrip.count())) / slots;
  for (Duration at = milliseconds(100); at < kPeakRunTime;
       at += Exponential(random, gap_us / DemandAt(at))) {
    const std::size_t kind = random() % 3;
    Sample sample;
    sample.arrival = TimePoint(at);
    sample.run_time =
        Duration(1000) + Exponential(random, run_means_us[kind] - 1000);
    sample.time_left = kPeakTimeLeft;
    sample.team = "team " + std::to_string(team(random));
    sample.statement = "statement " + std::to_string(kind);
    samples.push_back(sample);
  }
  return samples;
}

/// Jain's fairness index: 1 when all values are equal.
inline double JainIndex(const std::map<std::string, double>& values) {
  double sum = 0;
  double squares = 0;
  for (const auto& [name, value] : values) {
    sum += value;
    squares += value * value;
  }
  return squares == 0
             ? 0
             : sum * sum / (squares * static_cast<double>(values.size()));
}

}  // namespace carawayhaven::bench

#endif  // CARAWAYHAVEN_BENCH_QUEUE_LOADS_H_
