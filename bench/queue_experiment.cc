// Measures head-of-line blocking and demand peaks at the queue of one endpoint,
// in virtual time with fixed seeds, with the full policy and with mechanisms of
// the queue switched off. With --bounds FILE the exit code is 1 when the full
// policy misses a target of that file.

#include <tclap/CmdLine.h>
#include <toml++/toml.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "queue_loads.h"

namespace carawayhaven::bench {
namespace {

std::uint64_t seed = kDefaultSeed;

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
  add("no limit on unknown").limit_unknown_cost_work = false;
  add("no ageing").age_long_work = false;
  add("no frequent first").frequent_unknown_cost_first = false;
  add("no fairness").fair_between_teams = false;
  add("no admission control").admission_control = false;
  return variants;
}

struct PeakResult {
  /// Minimum over the windows from the first ramp to the end of the second.
  double min_goodput = 1;
  double fairness = 0;
  double normal_p99_ms = 0;
  /// P99 of the requests that arrive 2 s or more after the end of the peak.
  double later_p99_ms = 0;
  double recovery_s = 0;
  std::uint64_t refused = 0;
  std::uint64_t busy = 0;
};

PeakResult RunPeak(std::uint32_t slots, const QueuePolicy& policy) {
  const RunResult run = RunPool(PeakSamples(slots, seed), slots, policy);
  PeakResult result;
  result.refused = run.stats.refused;
  result.busy = run.busy;
  std::map<Duration, double> useful_slot_time;
  std::map<Duration, double> demanded_slot_time;
  std::map<std::string, double> by_team;
  std::vector<Duration> before;
  std::vector<Duration> after;
  std::map<Duration, std::vector<Duration>> recovering;
  const Duration quarter_window = kWindow / 4;
  for (const Sample& sample : run.samples) {
    const Duration arrival = sample.arrival.time_since_epoch();
    const auto cost =
        static_cast<double>((sample.run_time + kRoundTrip).count());
    const Duration latency = sample.ran ? sample.latency() : seconds(999);
    demanded_slot_time[arrival / kWindow * kWindow] += cost;
    if (sample.ran) {
      const Duration end = sample.end.time_since_epoch();
      useful_slot_time[end / kWindow * kWindow] += cost;
      if (end >= kPeakStart && end < kPeakEnd) by_team[sample.team] += cost;
    }
    if (arrival >= seconds(1) && arrival < kRampStart) {
      before.push_back(latency);
    }
    if (arrival >= kRampEnd + seconds(2)) after.push_back(latency);
    if (arrival >= kRampEnd) {
      recovering[arrival / quarter_window * quarter_window].push_back(latency);
    }
  }
  for (Duration window = kRampStart; window < kRampEnd; window += kWindow) {
    const double capacity =
        static_cast<double>(slots) * static_cast<double>(kWindow.count());
    result.min_goodput = std::min(
        result.min_goodput, useful_slot_time[window] /
                                std::min(capacity, demanded_slot_time[window]));
  }
  result.fairness = JainIndex(by_team);
  const Duration normal = Quantile(before, 0.99);
  result.normal_p99_ms = Milliseconds(normal);
  result.later_p99_ms = Milliseconds(Quantile(after, 0.99));
  // P99 over a quarter of a second varies also without a peak. The queue has
  // recovered when it is within the range of such windows before the peak.
  std::map<Duration, std::vector<Duration>> before_by_window;
  for (const Sample& sample : run.samples) {
    const Duration arrival = sample.arrival.time_since_epoch();
    if (arrival < seconds(1) || arrival >= kRampStart) continue;
    before_by_window[arrival / quarter_window * quarter_window].push_back(
        sample.ran ? sample.latency() : seconds(999));
  }
  Duration max_normal_p99{0};
  for (const auto& [window, values] : before_by_window) {
    max_normal_p99 = std::max(max_normal_p99, Quantile(values, 0.99));
  }
  for (const auto& [window, values] : recovering) {
    const double passed =
        Milliseconds(window + quarter_window - kRampEnd) / 1000;
    if (Quantile(values, 0.99) <= max_normal_p99) {
      result.recovery_s = passed;
      break;
    }
    result.recovery_s = passed;
  }
  return result;
}

class Report {
 public:
  /// Runs all variants, or only `variant` when it is not empty. Throws
  /// toml::parse_error.
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
      if (!IsSelected(variant)) continue;
      double base = 0;
      for (double share : {0.0, 0.01, 0.05, 0.20}) {
        const BlockingResult r =
            RunBlocking(slots, load, share, variant.policy, seed);
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

  void Peak(std::uint32_t slots) {
    std::printf(
        "\nPeak 1x to 5x and back, %u slots\n%-22s %8s %9s %14s %13s %10s "
        "%8s\n",
        slots, "policy", "goodput", "fairness", "P99 before ms", "P99 after ms",
        "recovery s", "refused");
    for (const Variant& variant : Variants()) {
      if (!IsSelected(variant)) continue;
      const PeakResult r = RunPeak(slots, variant.policy);
      std::printf("%-22s %8.3f %9.3f %14.1f %13.1f %10.2f %8llu\n",
                  variant.name.c_str(), r.min_goodput, r.fairness,
                  r.normal_p99_ms, r.later_p99_ms, r.recovery_s,
                  static_cast<unsigned long long>(r.refused));
      Json("{\"experiment\":\"peak\",\"slots\":" + std::to_string(slots) +
           ",\"policy\":\"" + variant.name +
           "\",\"goodput\":" + std::to_string(r.min_goodput) +
           ",\"fairness\":" + std::to_string(r.fairness) +
           ",\"p99_before_ms\":" + std::to_string(r.normal_p99_ms) +
           ",\"p99_after_ms\":" + std::to_string(r.later_p99_ms) +
           ",\"recovery_s\":" + std::to_string(r.recovery_s) + "}");
      if (variant.name != "full policy") continue;
      const std::string where = "peak, " + std::to_string(slots) + " slots";
      Check(where + ": goodput", r.min_goodput, "peak", "goodput_min");
      Check(where + ": fairness", r.fairness, "peak", "fairness_min");
      Check(where + ": recovery", r.recovery_s, "peak", "recovery_seconds_max");
      CheckSlots(where, r.busy);
    }
  }

  /// Prints the JSON line and the missed targets. Returns true when no target
  /// was missed.
  bool Finish() const {
    std::printf("\n{\"results\":[%s]}\n", json_.c_str());
    for (const std::string& miss : missed_) {
      std::fprintf(stderr, "target missed: %s\n", miss.c_str());
    }
    return missed_.empty();
  }

 private:
  bool IsSelected(const Variant& variant) const {
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
    missed_.push_back(what + " is " + std::to_string(value) + ", " + key +
                      " is " + std::to_string(bound.value_or(NAN)));
  }

  /// The pool must not send more statements than the endpoint has slots.
  void CheckSlots(const std::string& where, std::uint64_t busy) {
    if (busy > 0) missed_.push_back(where + ": more statements than slots");
  }

  std::string variant_;
  toml::table bounds_;
  std::string json_;
  std::vector<std::string> missed_;
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
    TCLAP::ValueArg<std::uint64_t> seed_argument(
        "", "seed", "random seed", false, carawayhaven::bench::seed, "number",
        command_line);
    command_line.parse(argc, argv);
    carawayhaven::bench::seed = seed_argument.getValue();
    carawayhaven::bench::Report report(bounds.getValue(), variant.getValue());
    for (std::uint32_t slots : {3U, 5U}) {
      report.Blocking(slots, load.getValue());
      report.Peak(slots);
    }
    return report.Finish() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
