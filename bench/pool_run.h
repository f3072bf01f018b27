#ifndef CARAWAYHAVEN_BENCH_POOL_RUN_H_
#define CARAWAYHAVEN_BENCH_POOL_RUN_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/queue/endpoint_pool.h"
#include "simulated_endpoint.h"

namespace carawayhaven::bench {

/// A request of an open-loop run and its outcome.
struct Sample {
  TimePoint arrival;
  Duration run_time{0};
  /// Time from the arrival to the deadline.
  Duration time_left{0};
  std::string team;
  std::string statement;
  bool is_long = false;
  // Set by RunPool.
  bool ran = false;
  Reason reason = Reason::kNone;
  TimePoint end = TimePoint::max();

  Duration latency() const { return end - arrival; }
};

struct RunResult {
  std::vector<Sample> samples;
  PoolStats stats;
  /// Statements that the endpoint refused because all slots were in use.
  std::uint64_t busy = 0;
};

/// Runs the requests through a pool with the given policy. `samples` must be
/// ordered by arrival.
inline RunResult RunPool(std::vector<Sample> samples, std::uint32_t slots,
                         const QueuePolicy& policy) {
  class IgnoreAnswers : public EndpointPoolHandler {
    void OnEndpointAnswer(const EndpointName&, const EndpointAnswer&,
                          TimePoint) override {}
  };
  VirtualTime time;
  SimulatedEndpoint endpoint(time, slots);
  IgnoreAnswers handler;
  EndpointPoolOptions options;
  options.slots = slots;
  options.policy = policy;
  EndpointPool pool(options, endpoint, handler);
  TimePoint end;
  for (Sample& sample : samples) {
    time.At(sample.arrival, [&pool, &time, &sample] {
      Request request;
      request.service = "s";
      request.team = sample.team;
      request.statement = sample.statement;
      request.parameters = std::to_string(sample.run_time.count());
      request.max_age = std::chrono::seconds(1);
      request.deadline = time.now() + sample.time_left;
      pool.Submit(
          std::move(request), 1,
          [&sample, &time](const Outcome& outcome) {
            sample.ran = outcome.verdict == Verdict::kRan;
            sample.reason = outcome.reason;
            if (sample.ran) sample.end = time.now();
          },
          time.now());
    });
    end = std::max(end, sample.arrival + sample.time_left);
  }
  time.RunUntil(
      end + std::chrono::seconds(1), [&pool] { return pool.NextTick(); },
      [&pool](TimePoint now) { pool.Tick(now); });
  return {std::move(samples), pool.stats(), endpoint.busy()};
}

/// Returns the value at rank `quantile` (0 to 1), or zero without values.
/// Callers pass a very long latency for a request that did not run.
inline Duration Quantile(std::vector<Duration> values, double quantile) {
  if (values.empty()) return Duration{0};
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

}  // namespace carawayhaven::bench

#endif  // CARAWAYHAVEN_BENCH_POOL_RUN_H_
