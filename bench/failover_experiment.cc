// Measures the failover gap (from the last acknowledged write of the old
// primary to the first of the new one) and the cost of each `acknowledge`
// setting, in virtual time with fixed seeds.
//
// Usage: failover_experiment [--runs N] [--bounds FILE]
//
// The exit code is 1 when a bound of [failover] in FILE is broken.

#include <tclap/CmdLine.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "group/fake_endpoint_group.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What happens to the primary. kPartitioned: the primary has no traffic with
/// the other endpoints, but proxies reach it. kSilent: open connections carry
/// no traffic, new ones work.
enum class Failure { kCrash, kFreeze, kPartitioned, kSilent };

constexpr const char* kFailureNames[] = {"crash", "freeze", "cut", "silent"};
constexpr const char* kStoreFaultNames[] = {"up", "slow", "down",
                                            "answer lost"};
constexpr const char* kDeploymentNames[] = {"registry", "kitchen"};
constexpr FakeLatency kLatencies[] = {{Duration(1500), milliseconds(10)},
                                      {milliseconds(1), milliseconds(20)}};
constexpr StoreFault kStoreFaults[] = {StoreFault::kNone, StoreFault::kSlow,
                                       StoreFault::kDown,
                                       StoreFault::kAnswerLost};

double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

/// Returns the value at rank `share` (0 to 1) of the sorted values, or zero.
Duration Percentile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) return Duration(0);
  const auto index =
      std::lround(share * static_cast<double>(sorted.size() - 1));
  return sorted[static_cast<std::size_t>(index)];
}

/// Results of all runs of one deployment, failure and store fault.
struct ScenarioResult {
  /// Failover gap of each run; for kSilent, where no failover is expected, the
  /// longest time between two acknowledged writes.
  std::vector<Duration> gaps;
  /// Runs that ended with a primary of a term above 1.
  int promotions = 0;
  /// Acknowledged writes that the last primary's log does not hold.
  int lost = 0;
  /// Runs without an acknowledged write in a new term.
  int unfinished = 0;
};

/// Returns the number of acknowledged writes that the current primary lacks.
int CountLost(FakeDeployment& deployment) {
  std::vector<std::uint64_t> logged_ids;
  for (const auto& entry :
       deployment.group[deployment.group.CurrentPrimary()].log) {
    logged_ids.push_back(entry.id);
  }
  std::sort(logged_ids.begin(), logged_ids.end());
  return static_cast<int>(std::count_if(
      deployment.writer->acknowledged.begin(),
      deployment.writer->acknowledged.end(), [&logged_ids](const auto& write) {
        return !std::binary_search(logged_ids.begin(), logged_ids.end(),
                                   write.id);
      }));
}

/// Fails the primary (endpoint 0) after 2 s and observes the group for 9 s.
void RunOnce(ScenarioResult& scenario, Failure failure, StoreFault store_fault,
             FakeLatency latency, std::uint64_t seed) {
  FakeDeployment deployment(latency, seed);
  deployment.store.fault = store_fault;
  deployment.RunFor(seconds(2) + Duration(deployment.random() % 250000));
  const TimePoint start = deployment.clock.now();
  switch (failure) {
    case Failure::kCrash:
      deployment.group.Crash(0);
      break;
    case Failure::kFreeze:
      deployment.group.Freeze(0);
      break;
    case Failure::kPartitioned:
      deployment.group[0].cut = true;
      break;
    case Failure::kSilent:
      deployment.group.Silence(0);
      break;
  }
  deployment.RunFor(seconds(9));
  const auto& writes = deployment.writer->acknowledged;
  const bool promoted =
      deployment.group[deployment.group.CurrentPrimary()].term > 1;
  scenario.promotions += promoted ? 1 : 0;
  scenario.lost += CountLost(deployment);
  if (failure == Failure::kSilent) {
    scenario.gaps.push_back(deployment.LongestGap(start));
    return;
  }
  const auto first =
      std::find_if(writes.begin(), writes.end(),
                   [](const auto& write) { return write.term > 1; });
  if (first == writes.end() || first == writes.begin()) {
    ++scenario.unfinished;
    scenario.gaps.push_back(seconds(9));
    return;
  }
  scenario.gaps.push_back(first->at - std::prev(first)->at);
}

struct Bounds {
  double p99_ms = 0;
  double max_ms = 0;
  std::int64_t silent_promotions = 0;
};

Bounds ReadBounds(const std::string& path) {
  const toml::table table = toml::parse_file(path);
  const auto section = table["failover"];
  return {section["p99_ms"].value<double>().value(),
          section["max_ms"].value<double>().value(),
          section["silent_promotions"].value<std::int64_t>().value()};
}

/// Prints the gaps of all scenarios and adds them to `result`. Returns false
/// when a bound is broken; a null pointer checks nothing.
bool MeasureGaps(int runs, const Bounds* bounds, nlohmann::json& result) {
  bool bounds_met = true;
  std::printf("Failover gap in ms, %d runs per scenario, 100 writes a second\n",
              runs);
  std::printf("%-9s %-7s %-12s %8s %8s %8s %10s %5s\n", "latencies", "failure",
              "store", "P50", "P99", "max", "promotions", "lost");
  for (std::size_t d = 0; d < std::size(kLatencies); ++d) {
    for (std::size_t f = 0; f < std::size(kFailureNames); ++f) {
      for (std::size_t s = 0; s < std::size(kStoreFaults); ++s) {
        ScenarioResult scenario;
        for (int run = 0; run < runs; ++run) {
          RunOnce(scenario, static_cast<Failure>(f), kStoreFaults[s],
                  kLatencies[d], static_cast<std::uint64_t>(run) + 1);
        }
        std::sort(scenario.gaps.begin(), scenario.gaps.end());
        const double p50 = Milliseconds(Percentile(scenario.gaps, 0.5));
        const double p99 = Milliseconds(Percentile(scenario.gaps, 0.99));
        const double max = Milliseconds(scenario.gaps.back());
        std::printf("%-9s %-7s %-12s %8.0f %8.0f %8.0f %10d %5d\n",
                    kDeploymentNames[d], kFailureNames[f], kStoreFaultNames[s],
                    p50, p99, max, scenario.promotions, scenario.lost);
        result["gaps"].push_back({{"latencies", kDeploymentNames[d]},
                                  {"failure", kFailureNames[f]},
                                  {"store", kStoreFaultNames[s]},
                                  {"p50_ms", p50},
                                  {"p99_ms", p99},
                                  {"max_ms", max},
                                  {"promotions", scenario.promotions},
                                  {"lost", scenario.lost}});
        if (bounds == nullptr) continue;
        const bool silent = static_cast<Failure>(f) == Failure::kSilent;
        if (p99 >= bounds->p99_ms || max >= bounds->max_ms ||
            scenario.lost != 0 || scenario.unfinished != 0 ||
            (silent && scenario.promotions > bounds->silent_promotions)) {
          std::printf("bound broken in the line above\n");
          bounds_met = false;
        }
      }
    }
  }
  return bounds_met;
}

/// Prints, for each `acknowledge` setting and replica lag, the writes lost at a
/// crash of the primary and the time to acknowledge, and adds them to `result`.
void MeasureAcknowledgeModes(int runs, nlohmann::json& result) {
  std::printf(
      "\nWrites lost at a crash, and time to acknowledge in ms, "
      "%d runs a line, 100 writes a second\n",
      runs);
  std::printf("%-12s %10s %12s %12s %10s %10s\n", "acknowledge", "lag ms",
              "lost (mean)", "lost (max)", "P50", "P99");
  constexpr Duration kLags[] = {milliseconds(10), milliseconds(100), seconds(1),
                                seconds(10), seconds(60)};
  for (const AcknowledgeMode mode :
       {AcknowledgeMode::kReplica, AcknowledgeMode::kPrimary}) {
    const char* name =
        mode == AcknowledgeMode::kReplica ? "replica" : "primary";
    for (const Duration lag : kLags) {
      int lost = 0;
      int max_lost = 0;
      std::vector<Duration> latencies;
      for (int run = 0; run < runs; ++run) {
        FakeDeployment deployment(kLatencies[0],
                                  static_cast<std::uint64_t>(run) + 1, mode);
        deployment.group[1].lag = deployment.group[2].lag = lag;
        deployment.RunFor(2 * lag + seconds(2) +
                          Duration(deployment.random() % 250000));
        for (const auto& write : deployment.writer->acknowledged) {
          latencies.push_back(write.latency);
        }
        deployment.group.Crash(0);
        deployment.RunFor(seconds(5));
        const int lost_in_run = CountLost(deployment);
        lost += lost_in_run;
        max_lost = std::max(max_lost, lost_in_run);
      }
      std::sort(latencies.begin(), latencies.end());
      const double mean = static_cast<double>(lost) / runs;
      const double p50 = Milliseconds(Percentile(latencies, 0.5));
      const double p99 = Milliseconds(Percentile(latencies, 0.99));
      std::printf("%-12s %10.0f %12.1f %12d %10.1f %10.1f\n", name,
                  Milliseconds(lag), mean, max_lost, p50, p99);
      result["acknowledge"].push_back({{"mode", name},
                                       {"lag_ms", Milliseconds(lag)},
                                       {"lost_mean", mean},
                                       {"lost_max", max_lost},
                                       {"p50_ms", p50},
                                       {"p99_ms", p99}});
    }
  }
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Failover gap in virtual time");
  TCLAP::ValueArg<int> runs("", "runs", "runs per scenario", false, 200,
                            "count", line);
  TCLAP::ValueArg<std::string> bounds("", "bounds", "file of bounds to check",
                                      false, "", "file", line);
  line.parse(argc, argv);
  nlohmann::json result = {{"experiment", "failover"},
                           {"runs", runs.getValue()}};
  Bounds limits;
  if (bounds.isSet()) limits = ReadBounds(bounds.getValue());
  const bool bounds_met =
      MeasureGaps(runs.getValue(), bounds.isSet() ? &limits : nullptr, result);
  MeasureAcknowledgeModes(std::max(1, runs.getValue() / 10), result);
  std::printf("%s\n", result.dump().c_str());
  return bounds_met ? 0 : 1;
}

}  // namespace
}  // namespace carawayhaven

int main(int argc, char** argv) {
  try {
    return carawayhaven::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
