// Failover gap and the cost of each `acknowledge` setting, in virtual time with
// fixed seeds. Usage: failover_experiment [--runs N] [--bounds FILE]

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

enum class Failure { kCrash, kFreeze, kCut, kSilent };

constexpr const char* kFailureNames[] = {"crash", "freeze", "cut", "silent"};
constexpr const char* kStoreNames[] = {"up", "slow", "down", "answer lost"};
constexpr const char* kDeploymentNames[] = {"registry", "kitchen"};
constexpr FakeLatency kLatencies[] = {{Duration(1500), milliseconds(10)},
                                      {milliseconds(1), milliseconds(20)}};
constexpr StoreFault kStores[] = {StoreFault::kNone, StoreFault::kSlow,
                                  StoreFault::kDown, StoreFault::kAnswerLost};

double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

/// Returns the value at the share of the sorted values.
Duration Percentile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) return Duration(0);
  const auto index =
      std::lround(share * static_cast<double>(sorted.size() - 1));
  return sorted[static_cast<std::size_t>(index)];
}

struct Cell {
  std::vector<Duration> gaps;
  int promotions = 0;
  int lost = 0;
  int unfinished = 0;
};

int CountLost(FakeDeployment& world) {
  std::vector<std::uint64_t> held;
  for (const auto& entry : world.group[world.group.CurrentPrimary()].log) {
    held.push_back(entry.id);
  }
  std::sort(held.begin(), held.end());
  return static_cast<int>(std::count_if(
      world.writer->acknowledged.begin(), world.writer->acknowledged.end(),
      [&held](const auto& write) {
        return !std::binary_search(held.begin(), held.end(), write.id);
      }));
}

void RunOnce(Cell& cell, Failure failure, StoreFault store, FakeLatency latency,
             std::uint64_t seed) {
  FakeDeployment world(latency, seed);
  world.store.fault = store;
  world.RunFor(seconds(2) + Duration(world.random() % 250000));
  const TimePoint start = world.clock.now();
  switch (failure) {
    case Failure::kCrash:
      world.group.Crash(0);
      break;
    case Failure::kFreeze:
      world.group.Freeze(0);
      break;
    case Failure::kCut:
      world.group[0].cut = true;
      break;
    case Failure::kSilent:
      world.group.Silence(0);
      break;
  }
  world.RunFor(seconds(9));
  const auto& writes = world.writer->acknowledged;
  const bool promoted = world.group[world.group.CurrentPrimary()].term > 1;
  cell.promotions += promoted ? 1 : 0;
  cell.lost += CountLost(world);
  if (failure == Failure::kSilent) {
    cell.gaps.push_back(world.LongestGap(start));
    return;
  }
  const auto first =
      std::find_if(writes.begin(), writes.end(),
                   [](const auto& write) { return write.term > 1; });
  if (first == writes.end() || first == writes.begin()) {
    ++cell.unfinished;
    cell.gaps.push_back(seconds(9));
    return;
  }
  cell.gaps.push_back(first->at - std::prev(first)->at);
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

/// Prints the gaps; returns false when a bound is broken.
bool MeasureGaps(int runs, const Bounds* bounds, nlohmann::json& result) {
  bool kept = true;
  std::printf("Failover gap in ms, %d runs a cell, 100 writes a second\n",
              runs);
  std::printf("%-9s %-7s %-12s %8s %8s %8s %10s %5s\n", "latencies", "failure",
              "store", "P50", "P99", "max", "promotions", "lost");
  for (std::size_t d = 0; d < std::size(kLatencies); ++d) {
    for (std::size_t f = 0; f < std::size(kFailureNames); ++f) {
      for (std::size_t s = 0; s < std::size(kStores); ++s) {
        Cell cell;
        for (int run = 0; run < runs; ++run) {
          RunOnce(cell, static_cast<Failure>(f), kStores[s], kLatencies[d],
                  static_cast<std::uint64_t>(run) + 1);
        }
        std::sort(cell.gaps.begin(), cell.gaps.end());
        const double p50 = Milliseconds(Percentile(cell.gaps, 0.5));
        const double p99 = Milliseconds(Percentile(cell.gaps, 0.99));
        const double max = Milliseconds(cell.gaps.back());
        std::printf("%-9s %-7s %-12s %8.0f %8.0f %8.0f %10d %5d\n",
                    kDeploymentNames[d], kFailureNames[f], kStoreNames[s], p50,
                    p99, max, cell.promotions, cell.lost);
        result["gaps"].push_back({{"latencies", kDeploymentNames[d]},
                                  {"failure", kFailureNames[f]},
                                  {"store", kStoreNames[s]},
                                  {"p50_ms", p50},
                                  {"p99_ms", p99},
                                  {"max_ms", max},
                                  {"promotions", cell.promotions},
                                  {"lost", cell.lost}});
        if (bounds == nullptr) continue;
        const bool silent = static_cast<Failure>(f) == Failure::kSilent;
        if (p99 >= bounds->p99_ms || max >= bounds->max_ms || cell.lost != 0 ||
            cell.unfinished != 0 ||
            (silent && cell.promotions > bounds->silent_promotions)) {
          std::printf("bound broken in the line above\n");
          kept = false;
        }
      }
    }
  }
  return kept;
}

/// Prints what each setting costs by replica lag.
void MeasureAcknowledge(int runs, nlohmann::json& result) {
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
      int most = 0;
      std::vector<Duration> latencies;
      for (int run = 0; run < runs; ++run) {
        FakeDeployment world(kLatencies[0], static_cast<std::uint64_t>(run) + 1,
                             mode);
        world.group[1].lag = world.group[2].lag = lag;
        world.RunFor(2 * lag + seconds(2) + Duration(world.random() % 250000));
        for (const auto& write : world.writer->acknowledged) {
          latencies.push_back(write.latency);
        }
        world.group.Crash(0);
        world.RunFor(seconds(5));
        const int count = CountLost(world);
        lost += count;
        most = std::max(most, count);
      }
      std::sort(latencies.begin(), latencies.end());
      const double mean = static_cast<double>(lost) / runs;
      const double p50 = Milliseconds(Percentile(latencies, 0.5));
      const double p99 = Milliseconds(Percentile(latencies, 0.99));
      std::printf("%-12s %10.0f %12.1f %12d %10.1f %10.1f\n", name,
                  Milliseconds(lag), mean, most, p50, p99);
      result["acknowledge"].push_back({{"mode", name},
                                       {"lag_ms", Milliseconds(lag)},
                                       {"lost_mean", mean},
                                       {"lost_max", most},
                                       {"p50_ms", p50},
                                       {"p99_ms", p99}});
    }
  }
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Failover gap in virtual time");
  TCLAP::ValueArg<int> runs("", "runs", "runs a cell", false, 200, "count",
                            line);
  TCLAP::ValueArg<std::string> bounds("", "bounds", "file of bounds to check",
                                      false, "", "file", line);
  line.parse(argc, argv);
  nlohmann::json result = {{"experiment", "failover"},
                           {"runs", runs.getValue()}};
  Bounds limits;
  if (bounds.isSet()) limits = ReadBounds(bounds.getValue());
  const bool kept =
      MeasureGaps(runs.getValue(), bounds.isSet() ? &limits : nullptr, result);
  MeasureAcknowledge(std::max(1, runs.getValue() / 10), result);
  std::printf("%s\n", result.dump().c_str());
  return kept ? 0 : 1;
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
