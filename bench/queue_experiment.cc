// Head-of-line blocking and demand crests on one endpoint's queue, in virtual
// time with fixed seeds. With --bounds FILE the exit code is 1 when a target
// in that file is missed.

#include <tclap/CmdLine.h>
#include <toml++/toml.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "pool_run.h"

namespace carawayhaven::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr Duration kRoundTrip = 2 * SimulatedEndpoint::kOneWay;

struct Variant {
  std::string name;
  QueuePolicy policy;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants(1, {"full policy", {}});
  const auto add = [&variants](const std::string& name) -> QueuePolicy& {
    return variants.emplace_back(Variant{name, {}}).policy;
  };
  QueuePolicy& fifo = add("FIFO");
  fifo.limit_long_work = false;
  fifo.fair_between_teams = false;
  fifo.admission_control = false;
  add("no class limit").limit_long_work = false;
  add("no reclassification").reclassify_running = false;
  add("no limit on unknown").limit_unknown_work = false;
  add("no ageing").age_long_work = false;
  add("extra slot when aged").extra_slot_when_aged = true;
  add("no fairness").fair_between_teams = false;
  add("no admission control").admission_control = false;
  return variants;
}

Duration Exponential(std::mt19937_64& random, double mean_us) {
  return Duration(
      std::llround(std::exponential_distribution<double>(1 / mean_us)(random)));
}

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

// Head-of-line blocking.

constexpr double kShortMeanUs = 4000;
constexpr int kStragglerTexts = 50;
constexpr Duration kShortTimeLeft = seconds(5);
constexpr Duration kLongTimeLeft = seconds(60);
constexpr Duration kBlockingRun = seconds(120);

/// Short work at `load` of all slots, the same for every share of stragglers;
/// a straggler runs 20 to 200 times as long, each text with its own factor.
std::vector<Sample> BlockingSamples(std::uint32_t slots, double load,
                                    double straggler_share) {
  std::mt19937_64 random(kSeed);
  std::vector<Sample> samples;
  const double gap_us =
      (kShortMeanUs + static_cast<double>(kRoundTrip.count())) / (load * slots);
  for (Duration at = milliseconds(100); at < kBlockingRun;
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
  std::mt19937_64 straggler_random(kSeed + 1);
  const double straggler_gap_us =
      gap_us * (1 - straggler_share) / straggler_share;
  for (Duration at = milliseconds(100); at < kBlockingRun;
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
  std::size_t starved = 0;
  double longest_straggler_s = 0;
  std::uint64_t busy = 0;
};

BlockingResult RunBlocking(std::uint32_t slots, double load, double share,
                           const QueuePolicy& policy) {
  const RunResult run =
      RunPool(BlockingSamples(slots, load, share), slots, policy);
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

// Crest of demand.

constexpr Duration kCrestTimeLeft = milliseconds(500);
constexpr Duration kWindow = seconds(1);
constexpr Duration kCrestStart = seconds(10);
constexpr Duration kPeakStart = seconds(12);
constexpr Duration kPeakEnd = seconds(16);
constexpr Duration kCrestEnd = seconds(18);
constexpr Duration kCrestRun = seconds(30);
constexpr double kNormalDemand = 0.7;
// Share of each team in the demand. At the peak each exceeds a quarter of the
// capacity.
constexpr double kTeamDemand[] = {0.1, 0.2, 0.3, 0.4};

/// Demand as multiple of capacity: normal, then 1x to 5x within 2 s, 4 s at
/// the peak, back to 1x within 2 s, then normal again.
double DemandAt(Duration at) {
  const auto part = [at](Duration from, Duration to) {
    return static_cast<double>((at - from).count()) /
           static_cast<double>((to - from).count());
  };
  if (at < kCrestStart || at >= kCrestEnd) return kNormalDemand;
  if (at < kPeakStart) return 1 + 4 * part(kCrestStart, kPeakStart);
  if (at < kPeakEnd) return 5;
  return 5 - 4 * part(kPeakEnd, kCrestEnd);
}

std::vector<Sample> CrestSamples(std::uint32_t slots) {
  std::mt19937_64 random(kSeed + 2);
  std::discrete_distribution<int> team(std::begin(kTeamDemand),
                                       std::end(kTeamDemand));
  // Mean run times of a check-in, a reservation and an availability view.
  const double run_means_us[] = {2000, 4000, 6000};
  std::vector<Sample> samples;
  const double gap_us =
      (kShortMeanUs + static_cast<double>(kRoundTrip.count())) / slots;
  for (Duration at = milliseconds(100); at < kCrestRun;
       at += Exponential(random, gap_us / DemandAt(at))) {
    const std::size_t kind = random() % 3;
    Sample sample;
    sample.arrival = TimePoint(at);
    sample.run_time =
        Duration(1000) + Exponential(random, run_means_us[kind] - 1000);
    sample.time_left = kCrestTimeLeft;
    sample.team = "team " + std::to_string(team(random));
    sample.statement = "statement " + std::to_string(kind);
    samples.push_back(sample);
  }
  return samples;
}

struct CrestResult {
  double least_goodput = 1;
  double fairness = 0;
  double normal_p99_ms = 0;
  /// P99 from 2 s after the crest on.
  double later_p99_ms = 0;
  double recovery_s = 0;
  std::uint64_t refused = 0;
  std::uint64_t busy = 0;
};

double JainIndex(const std::map<std::string, double>& values) {
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

CrestResult RunCrest(std::uint32_t slots, const QueuePolicy& policy) {
  const RunResult run = RunPool(CrestSamples(slots), slots, policy);
  CrestResult result;
  result.refused = run.stats.refused;
  result.busy = run.busy;
  std::map<Duration, double> good;
  std::map<Duration, double> offered;
  std::map<std::string, double> by_team;
  std::vector<Duration> before;
  std::vector<Duration> after;
  std::map<Duration, std::vector<Duration>> recovering;
  const Duration half_window = kWindow / 4;
  for (const Sample& sample : run.samples) {
    const Duration arrival = sample.arrival.time_since_epoch();
    const auto cost =
        static_cast<double>((sample.run_time + kRoundTrip).count());
    const Duration latency = sample.ran ? sample.latency() : seconds(999);
    offered[arrival / kWindow * kWindow] += cost;
    if (sample.ran) {
      const Duration end = sample.end.time_since_epoch();
      good[end / kWindow * kWindow] += cost;
      if (end >= kPeakStart && end < kPeakEnd) by_team[sample.team] += cost;
    }
    if (arrival >= seconds(1) && arrival < kCrestStart) {
      before.push_back(latency);
    }
    if (arrival >= kCrestEnd + seconds(2)) after.push_back(latency);
    if (arrival >= kCrestEnd) {
      recovering[arrival / half_window * half_window].push_back(latency);
    }
  }
  for (Duration window = kCrestStart; window < kCrestEnd; window += kWindow) {
    const double capacity =
        static_cast<double>(slots) * static_cast<double>(kWindow.count());
    result.least_goodput =
        std::min(result.least_goodput,
                 good[window] / std::min(capacity, offered[window]));
  }
  result.fairness = JainIndex(by_team);
  const Duration normal = Quantile(before, 0.99);
  result.normal_p99_ms = Milliseconds(normal);
  result.later_p99_ms = Milliseconds(Quantile(after, 0.99));
  // P99 of a quarter of a second varies by itself; its normal range is that
  // of the same windows before the crest.
  std::map<Duration, std::vector<Duration>> usual;
  for (const Sample& sample : run.samples) {
    const Duration arrival = sample.arrival.time_since_epoch();
    if (arrival < seconds(1) || arrival >= kCrestStart) continue;
    usual[arrival / half_window * half_window].push_back(
        sample.ran ? sample.latency() : seconds(999));
  }
  Duration highest_usual{0};
  for (const auto& [window, values] : usual) {
    highest_usual = std::max(highest_usual, Quantile(values, 0.99));
  }
  for (const auto& [window, values] : recovering) {
    const double passed = Milliseconds(window + half_window - kCrestEnd) / 1000;
    if (Quantile(values, 0.99) <= highest_usual) {
      result.recovery_s = passed;
      break;
    }
    result.recovery_s = passed;
  }
  return result;
}

class Report {
 public:
  /// Runs all variants, or the one with that name. Throws toml::parse_error.
  Report(const std::string& bounds_file, std::string variant)
      : variant_(std::move(variant)) {
    if (!bounds_file.empty()) bounds_ = toml::parse_file(bounds_file);
  }

  void Blocking(std::uint32_t slots, double load) {
    std::printf(
        "\nHead-of-line blocking, %u slots, short work at %.0f%% of them\n"
        "%-22s %6s %12s %7s %9s %8s %8s %11s\n",
        slots, load * 100, "policy", "long", "short P99 ms", "ratio",
        "long ran", "refused", "starved", "longest s");
    for (const Variant& variant : Variants()) {
      if (!Selected(variant)) continue;
      double base = 0;
      for (double share : {0.0, 0.01, 0.05, 0.20}) {
        const BlockingResult r =
            RunBlocking(slots, load, share, variant.policy);
        if (share == 0) base = r.short_p99_ms;
        const double ratio = r.short_p99_ms / base;
        std::printf("%-22s %5.0f%% %12.1f %7.2f %9zu %8zu %8zu %11.1f\n",
                    variant.name.c_str(), share * 100, r.short_p99_ms, ratio,
                    r.long_ran, r.long_refused, r.starved,
                    r.longest_straggler_s);
        Json("{\"experiment\":\"head_of_line\",\"slots\":" +
             std::to_string(slots) + ",\"policy\":\"" + variant.name +
             "\",\"share\":" + std::to_string(share) +
             ",\"p99_ms\":" + std::to_string(r.short_p99_ms) +
             ",\"ratio\":" + std::to_string(ratio) +
             ",\"starved\":" + std::to_string(r.starved) + "}");
        if (variant.name != "full policy") continue;
        const std::string where = "head of line, " + std::to_string(slots) +
                                  " slots, share " + std::to_string(share);
        Check(where + ": P99 ratio", ratio, "head_of_line", "p99_ratio_max");
        Check(where + ": starved", static_cast<double>(r.starved),
              "head_of_line", "starved_max");
        CheckSlots(where, r.busy);
      }
    }
  }

  void Crest(std::uint32_t slots) {
    std::printf(
        "\nCrest 1x to 5x and back, %u slots\n%-22s %8s %9s %14s %13s %10s "
        "%8s\n",
        slots, "policy", "goodput", "fairness", "P99 before ms", "P99 after ms",
        "recovery s", "refused");
    for (const Variant& variant : Variants()) {
      if (!Selected(variant)) continue;
      const CrestResult r = RunCrest(slots, variant.policy);
      std::printf("%-22s %8.3f %9.3f %14.1f %13.1f %10.2f %8llu\n",
                  variant.name.c_str(), r.least_goodput, r.fairness,
                  r.normal_p99_ms, r.later_p99_ms, r.recovery_s,
                  static_cast<unsigned long long>(r.refused));
      Json("{\"experiment\":\"crest\",\"slots\":" + std::to_string(slots) +
           ",\"policy\":\"" + variant.name +
           "\",\"goodput\":" + std::to_string(r.least_goodput) +
           ",\"fairness\":" + std::to_string(r.fairness) +
           ",\"p99_before_ms\":" + std::to_string(r.normal_p99_ms) +
           ",\"p99_after_ms\":" + std::to_string(r.later_p99_ms) +
           ",\"recovery_s\":" + std::to_string(r.recovery_s) + "}");
      if (variant.name != "full policy") continue;
      const std::string where = "crest, " + std::to_string(slots) + " slots";
      Check(where + ": goodput", r.least_goodput, "crest", "goodput_min");
      Check(where + ": fairness", r.fairness, "crest", "fairness_min");
      Check(where + ": recovery", r.recovery_s, "crest",
            "recovery_seconds_max");
      CheckSlots(where, r.busy);
    }
  }

  /// Prints the JSON line and what missed its target. Returns true when none.
  bool Finish() const {
    std::printf("\n{\"results\":[%s]}\n", json_.c_str());
    for (const std::string& miss : misses_) {
      std::fprintf(stderr, "target missed: %s\n", miss.c_str());
    }
    return misses_.empty();
  }

 private:
  bool Selected(const Variant& variant) const {
    return variant_.empty() || variant.name == variant_;
  }

  void Json(const std::string& object) {
    if (!json_.empty()) json_ += ",";
    json_ += object;
  }

  void Check(const std::string& what, double value, const std::string& table,
             const std::string& key) {
    if (bounds_.empty()) return;
    const auto bound = bounds_["queue"][table][key].value<double>();
    const bool is_max = key.ends_with("_max");
    if (bound && (is_max ? value <= *bound : value >= *bound)) return;
    misses_.push_back(what + " is " + std::to_string(value) + ", " + key +
                      " is " + std::to_string(bound.value_or(NAN)));
  }

  void CheckSlots(const std::string& where, std::uint64_t busy) {
    if (busy > 0) misses_.push_back(where + ": more statements than slots");
  }

  std::string variant_;
  toml::table bounds_;
  std::string json_;
  std::vector<std::string> misses_;
};

}  // namespace
}  // namespace carawayhaven::bench

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line("Queue experiments in virtual time", ' ');
    TCLAP::ValueArg<std::string> bounds("", "bounds", "file with the targets",
                                        false, "", "file", command_line);
    TCLAP::ValueArg<double> load("", "load", "short work as share of the slots",
                                 false, 0.3, "number", command_line);
    TCLAP::ValueArg<std::string> variant("", "policy", "only this policy",
                                         false, "", "name", command_line);
    command_line.parse(argc, argv);
    carawayhaven::bench::Report report(bounds.getValue(), variant.getValue());
    for (std::uint32_t slots : {3U, 5U}) {
      report.Blocking(slots, load.getValue());
      report.Crest(slots);
    }
    return report.Finish() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
