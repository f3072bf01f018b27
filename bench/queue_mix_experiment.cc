// Measures adversarial mixes of work at the queue of one endpoint, idle
// transactions under demand, retries at a peak, and the number of runs until a
// statement changes its cost class, in virtual time. With --bounds FILE only
// the cases with a target run, and the exit code is 1 when a target is missed.

#include <tclap/CmdLine.h>
#include <toml++/toml.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "queue_loads.h"

namespace carawayhaven::bench {
namespace {

constexpr Duration kMixRunTime = seconds(60);
/// Slot time of a statement with a mean run time of 4 ms.
constexpr double kShortCostUs =
    kShortMeanUs + static_cast<double>(kRoundTrip.count());

/// Returns the run time of a request by its arrival and its number in the
/// stream.
using RunTime =
    std::function<Duration(TimePoint, std::size_t, std::mt19937_64&)>;
/// Returns the statement text of a request by its number in the stream.
using StatementText = std::function<std::string(std::size_t)>;

Duration ShortRunTime(TimePoint, std::size_t, std::mt19937_64& random) {
  return Duration(1000) + Exponential(random, kShortMeanUs - 1000);
}

/// Adds a Poisson stream of one team's requests.
void AddStream(std::vector<Sample>& samples, std::mt19937_64 random,
               const std::string& team, double per_second,
               const StatementText& text, const RunTime& run_time) {
  std::size_t count = 0;
  for (Duration at = milliseconds(100); at < kMixRunTime;
       at += Exponential(random, 1e6 / per_second)) {
    Sample sample;
    sample.arrival = TimePoint(at);
    sample.run_time = run_time(sample.arrival, count, random);
    sample.time_left = kShortTimeLeft;
    sample.team = team;
    sample.statement = team + " " + text(count++);
    samples.push_back(sample);
  }
}

std::vector<Sample> Sorted(std::vector<Sample> samples) {
  std::stable_sort(
      samples.begin(), samples.end(),
      [](const Sample& a, const Sample& b) { return a.arrival < b.arrival; });
  return samples;
}

std::string OneOfFive(std::size_t count) { return std::to_string(count % 5); }
std::string Same(std::size_t) { return "same"; }
std::string Unique(std::size_t count) { return std::to_string(count); }

double P99Of(const RunResult& run, const std::string& except) {
  std::vector<Duration> latencies;
  for (const Sample& sample : run.samples) {
    if (sample.team == except) continue;
    latencies.push_back(sample.ran ? sample.latency() : seconds(999));
  }
  return Milliseconds(Quantile(latencies, 0.99));
}

double ShareThatRan(const RunResult& run, const std::string& team) {
  double all = 0;
  double ran = 0;
  for (const Sample& sample : run.samples) {
    if (sample.team != team) continue;
    ++all;
    if (sample.ran) ++ran;
  }
  return all == 0 ? 0 : ran / all;
}

class Report {
 public:
  Report(const std::string& bounds_file, std::uint64_t seed) : seed_(seed) {
    if (!bounds_file.empty()) bounds_ = toml::parse_file(bounds_file);
  }

  /// Runs a stream of team "mix" beside short work of others that takes 30% of
  /// the slots. The ratio compares the others' P99 with that beside a "mix"
  /// stream of equal rate that has one short statement. Does nothing when only
  /// cases with a target run and `bounded` is false.
  void Mix(const std::string& name, std::uint32_t slots, double per_second,
           const StatementText& text, const RunTime& run_time,
           const QueuePolicy& policy = {}, bool bounded = true) {
    if (!bounded && checks_bounds()) return;
    const auto run = [&](const StatementText& mix_text, const RunTime& mix_time,
                         const QueuePolicy& mix_policy) {
      std::vector<Sample> samples;
      AddStream(samples, std::mt19937_64(seed_), "others",
                0.3 * slots * 1e6 / kShortCostUs, OneOfFive, ShortRunTime);
      AddStream(samples, std::mt19937_64(seed_ + 1), "mix", per_second,
                mix_text, mix_time);
      return RunPool(Sorted(std::move(samples)), slots, mix_policy);
    };
    const RunResult baseline = run(Same, ShortRunTime, QueuePolicy());
    const RunResult mixed = run(text, run_time, policy);
    const double ratio = P99Of(mixed, "mix") / P99Of(baseline, "mix");
    std::printf(
        "%u slots, %-34s others' P99 %7.1f ms, ratio %5.2f, mix ran "
        "%5.3f\n",
        slots, name.c_str(), P99Of(mixed, "mix"), ratio,
        ShareThatRan(mixed, "mix"));
    if (bounded) CheckMax(name, ratio, "head_of_line", "p99_ratio_max");
  }

  /// Runs three teams that demand 15% of the slots each, and one that demands
  /// 10 times its share of 25%.
  void Flood(std::uint32_t slots, const QueuePolicy& policy,
             const std::string& name, bool bounded) {
    if (!bounded && checks_bounds()) return;
    const double capacity = slots * 1e6 / kShortCostUs;
    const auto run = [&](double flood, const QueuePolicy& flood_policy) {
      std::vector<Sample> samples;
      for (const char* team : {"a", "b", "c"}) {
        AddStream(samples, std::mt19937_64(seed_ + *team), team,
                  0.15 * capacity, OneOfFive, ShortRunTime);
      }
      AddStream(samples, std::mt19937_64(seed_), "mix", flood * capacity,
                OneOfFive, ShortRunTime);
      return RunPool(Sorted(std::move(samples)), slots, flood_policy);
    };
    const RunResult baseline = run(0.25, QueuePolicy());
    const RunResult flooded = run(2.5, policy);
    // Served part of what each team is entitled to: its demand, or for "mix"
    // the 55% of the slots that the others leave.
    std::map<std::string, double> satisfied;
    for (const char* team : {"a", "b", "c"}) {
      satisfied[team] = ShareThatRan(flooded, team);
    }
    satisfied["mix"] = std::min(1.0, ShareThatRan(flooded, "mix") * 2.5 / 0.55);
    const double fairness = JainIndex(satisfied);
    std::printf(
        "%u slots, flood, %-15s Jain %.3f, others' P99 %7.1f ms, ratio "
        "%5.2f, least served %.3f\n",
        slots, name.c_str(), fairness, P99Of(flooded, "mix"),
        P99Of(flooded, "mix") / P99Of(baseline, "mix"),
        std::min({satisfied["a"], satisfied["b"], satisfied["c"]}));
    if (!bounded) return;
    CheckMin("flood: fairness", fairness, "peak", "fairness_min");
  }

  void CheckMax(const std::string& what, double value, const char* table,
                const char* key) {
    Check(what, value, table, key, 1);
  }
  void CheckMin(const std::string& what, double value, const char* table,
                const char* key) {
    Check(what, value, table, key, -1);
  }

  /// True when there are bounds to check, so that only cases with a target run.
  bool checks_bounds() const { return !bounds_.empty(); }
  bool passed() const { return passed_; }
  std::uint64_t seed() const { return seed_; }

 private:
  void Check(const std::string& what, double value, const char* table,
             const char* key, int sign) {
    if (bounds_.empty()) return;
    const auto bound = bounds_["queue"][table][key].value<double>();
    if (bound && sign * value <= sign * *bound) return;
    passed_ = false;
    std::fprintf(stderr, "target missed: %s is %f, %s is %f\n", what.c_str(),
                 value, key, bound.value_or(NAN));
  }

  std::uint64_t seed_;
  toml::table bounds_;
  bool passed_ = true;
};

void Mixes(Report& report, std::uint32_t slots) {
  // Alternates between 4 ms and 200 ms every 10 s. In the long phase the stream
  // takes one slot.
  const RunTime changing = [](TimePoint at, std::size_t count,
                              std::mt19937_64& random) {
    const bool is_long = at.time_since_epoch() / seconds(10) % 2 == 1;
    return ShortRunTime(at, count, random) * (is_long ? 50 : 1);
  };
  const RunTime often_long = [](TimePoint at, std::size_t count,
                                std::mt19937_64& random) {
    return ShortRunTime(at, count, random) * (random() % 5 == 0 ? 50 : 1);
  };
  QueuePolicy no_reclassification;
  no_reclassification.reclassify_running = false;
  QueuePolicy no_unknown_cost_limit;
  no_unknown_cost_limit.limit_unknown_cost_work = false;
  report.Mix("cost changes 50 times", slots, 5, Same, changing);
  report.Mix("the same, no reclassification", slots, 5, Same, changing,
             no_reclassification, false);
  report.Mix("new text each time, short", slots, 20, Unique, ShortRunTime);
  report.Mix("new text each time, 20% long", slots, 20, Unique, often_long);
  report.Mix("the same, no limit on unknown", slots, 20, Unique, often_long,
             no_unknown_cost_limit, false);
  // In every 100 requests 20 have the same new, long text; the others have new,
  // short texts, so that new texts are not often long and the queue does not
  // limit them.
  const StatementText bursts = [](std::size_t count) {
    return std::to_string(count % 100 < 20 ? count / 100 * 100 : count);
  };
  const RunTime burst_time = [](TimePoint at, std::size_t count,
                                std::mt19937_64& random) {
    return ShortRunTime(at, count, random) * (count % 100 < 20 ? 50 : 1);
  };
  report.Mix("new long text in a burst", slots, 20, bursts, burst_time, {},
             false);
  report.Mix("the same, no reclassification", slots, 20, bursts, burst_time,
             no_reclassification, false);
  report.Mix("the same, no limit on unknown", slots, 20, bursts, burst_time,
             no_unknown_cost_limit, false);
  report.Flood(slots, {}, "full policy", true);
  QueuePolicy unfair;
  unfair.fair_between_teams = false;
  report.Flood(slots, unfair, "no fairness", false);
}

// Retries during a peak of demand.

enum class Retry { kNever, kAfterSuggestedTime, kAfterFixedTime };
/// Deadline of a retry: that of the first attempt, or the full time again.
enum class Deadline { kSame, kNew };

/// Runs the peak of demand with callers that retry a request up to 3 times when
/// it is refused as overloaded.
void RetryAtPeak(std::uint32_t slots, Retry retry, Deadline deadline,
                 const char* name, std::uint64_t seed) {
  constexpr int kRetries = 3;
  constexpr Duration kFixed = milliseconds(10);
  class IgnoreAnswers : public EndpointPoolHandler {
    void OnEndpointAnswer(const EndpointName&, const EndpointAnswer&,
                          TimePoint) override {}
  };
  std::vector<Sample> samples = PeakSamples(slots, seed);
  VirtualTime time;
  SimulatedEndpoint endpoint(time, slots);
  IgnoreAnswers handler;
  EndpointPoolOptions options;
  options.slots = slots;
  EndpointPool pool(options, endpoint, handler);
  std::size_t submissions = 0;
  std::function<void(Sample&, int)> submit = [&](Sample& sample, int retries) {
    ++submissions;
    Request request;
    request.service = "s";
    request.team = sample.team;
    request.statement = sample.statement;
    request.parameters = std::to_string(sample.run_time.count());
    request.max_age = seconds(1);
    request.deadline =
        (deadline == Deadline::kSame ? sample.arrival : time.now()) +
        sample.time_left;
    pool.Submit(
        std::move(request), 1,
        [&, retries](const Outcome& outcome) {
          sample.ran = outcome.verdict == Verdict::kRan;
          if (sample.ran) sample.end = time.now();
          if (outcome.reason != Reason::kOverloaded || retries == 0 ||
              retry == Retry::kNever) {
            return;
          }
          const Duration delay = retry == Retry::kAfterSuggestedTime
                                     ? outcome.retry_after
                                     : kFixed;
          if (deadline == Deadline::kSame &&
              time.now() + delay >= sample.arrival + sample.time_left) {
            return;
          }
          time.At(time.now() + delay,
                  [&, retries] { submit(sample, retries - 1); });
        },
        time.now());
  };
  for (Sample& sample : samples) {
    time.At(sample.arrival, [&] { submit(sample, kRetries); });
  }
  time.RunUntil(
      TimePoint(kPeakRunTime + seconds(10)), [&] { return pool.NextTick(); },
      [&](TimePoint now) { pool.Tick(now); });
  std::map<Duration, double> useful_slot_time;
  double ran = 0;
  std::vector<Duration> latencies;
  for (const Sample& sample : samples) {
    if (!sample.ran) continue;
    ++ran;
    latencies.push_back(sample.latency());
    useful_slot_time[sample.end.time_since_epoch() / kWindow * kWindow] +=
        static_cast<double>((sample.run_time + kRoundTrip).count());
  }
  double min_goodput = 1;
  for (Duration at = kPeakStart; at < kPeakEnd; at += kWindow) {
    min_goodput = std::min(
        min_goodput,
        useful_slot_time[at] / (slots * static_cast<double>(kWindow.count())));
  }
  std::printf(
      "%u slots, retries: %-26s ran %.3f, submissions a request %.2f, "
      "goodput %.3f, P99 of ran %.0f ms\n",
      slots, name, ran / static_cast<double>(samples.size()),
      static_cast<double>(submissions) / static_cast<double>(samples.size()),
      min_goodput, Milliseconds(Quantile(latencies, 0.99)));
}

// Idle transactions that hold connections.

/// Callers begin 3 transactions a second; begin and commit run 4 ms each. The
/// commit follows after a pause of 50 ms, in one of ten transactions after 20
/// s. Beside them short reads take 30% of the slots. 5 of the connections are
/// reserved. An idle transaction is reclaimed after `grace` while requests wait
/// for a connection, and after `idle_limit` otherwise.
void RunIdleTransactions(const char* name, std::uint32_t connections,
                         Duration grace, Duration idle_limit,
                         std::uint64_t seed) {
  constexpr std::uint32_t kSlots = 3;
  class IgnoreAnswers : public EndpointPoolHandler {
    void OnEndpointAnswer(const EndpointName&, const EndpointAnswer&,
                          TimePoint) override {}
  };
  VirtualTime time;
  SimulatedEndpoint endpoint(time, kSlots);
  IgnoreAnswers handler;
  EndpointPoolOptions options;
  options.slots = kSlots;
  options.connections = connections;
  // The simulated endpoint does not support confirmations.
  options.acknowledge = AcknowledgeMode::kPrimary;
  options.transaction_idle_timeout_on_demand = grace;
  options.transaction_idle_timeout = idle_limit;
  EndpointPool pool(options, endpoint, handler);
  std::mt19937_64 random(seed);
  std::vector<Duration> reads;
  std::size_t transactions = 0;
  std::size_t committed = 0;
  const auto submit = [&](RequestKind kind, const std::string& transaction,
                          std::function<void(bool)> done) {
    Request request;
    request.kind = kind;
    request.service = "s";
    request.team = "t";
    request.statement = transaction.empty() ? "read" : "update";
    request.parameters = "4000";
    request.max_age = seconds(1);
    request.transaction = transaction;
    request.deadline = time.now() + seconds(5);
    pool.Submit(
        std::move(request), 1,
        [done = std::move(done)](const Outcome& outcome) {
          done(outcome.verdict == Verdict::kRan);
        },
        time.now());
  };
  for (Duration at = milliseconds(100); at < kMixRunTime;
       at += Exponential(random, kShortCostUs / (0.3 * kSlots))) {
    time.At(TimePoint(at), [&] {
      const TimePoint arrival = time.now();
      const std::size_t index = reads.size();
      reads.push_back(seconds(999));
      submit(RequestKind::kStatement, "", [&, arrival, index](bool ran) {
        if (ran) reads[index] = time.now() - arrival;
      });
    });
  }
  for (Duration at = milliseconds(100); at < kMixRunTime;
       at += Exponential(random, 1e6 / 3)) {
    const Duration delay = random() % 10 == 0 ? seconds(20) : milliseconds(50);
    const std::string id = "x" + std::to_string(++transactions);
    time.At(TimePoint(at), [&, delay, id] {
      submit(RequestKind::kBegin, id, [&, delay, id](bool began) {
        if (!began) return;
        time.At(time.now() + delay, [&, id] {
          submit(RequestKind::kCommit, id,
                 [&](bool ran) { committed += ran ? 1 : 0; });
        });
      });
    });
  }
  time.RunUntil(
      TimePoint(kMixRunTime + seconds(30)), [&] { return pool.NextTick(); },
      [&](TimePoint now) { pool.Tick(now); });
  const auto ran = static_cast<double>(
      std::count_if(reads.begin(), reads.end(),
                    [](Duration value) { return value < seconds(999); }));
  std::printf(
      "%u connections, %-28s reads ran %.3f, P50 %6.1f, P99 %7.1f ms, "
      "committed %zu of %zu, reclaimed %llu\n",
      connections, name, ran / static_cast<double>(reads.size()),
      Milliseconds(Quantile(reads, 0.5)), Milliseconds(Quantile(reads, 0.99)),
      committed, transactions,
      static_cast<unsigned long long>(pool.stats().reclaimed_transactions));
}

// Counts the runs of a statement until its cost class changes.
void MeasureClassChanges() {
  constexpr Duration kShort = milliseconds(4);
  constexpr Duration kLong = milliseconds(200);
  CostEstimator costs(QueuePolicy().long_factor);
  for (int i = 0; i < 2000; ++i) costs.Observe(1, kShort);
  int until_new = 0;
  while (!costs.IsLong(2)) {
    costs.Observe(2, kLong);
    ++until_new;
  }
  for (std::uint64_t history : {1U, 10U, 100U, 1000U}) {
    const std::uint64_t text = 1000 + history;
    for (std::uint64_t i = 0; i < history; ++i) costs.Observe(text, kShort);
    int until_long = 0;
    while (!costs.IsLong(text)) {
      costs.Observe(text, kLong);
      costs.Observe(1, kShort);
      ++until_long;
    }
    int until_short = 0;
    while (costs.IsLong(text)) {
      costs.Observe(text, kShort);
      ++until_short;
    }
    std::printf(
        "learning: new long after %d runs; after %llu short runs, long "
        "after %d, short again after %d\n",
        until_new, static_cast<unsigned long long>(history), until_long,
        until_short);
  }
}

// Runs the cases that have no target.
void RunCasesWithoutTarget(std::uint64_t seed) {
  for (std::uint32_t slots : {3U, 5U}) {
    RetryAtPeak(slots, Retry::kNever, Deadline::kSame, "never", seed);
    RetryAtPeak(slots, Retry::kAfterSuggestedTime, Deadline::kSame,
                "retry_after, same deadline", seed);
    RetryAtPeak(slots, Retry::kAfterFixedTime, Deadline::kSame,
                "10 ms, same deadline", seed);
    RetryAtPeak(slots, Retry::kAfterSuggestedTime, Deadline::kNew,
                "retry_after, new deadline", seed);
    RetryAtPeak(slots, Retry::kAfterFixedTime, Deadline::kNew,
                "10 ms, new deadline", seed);
  }
  constexpr Duration kNever = std::chrono::hours(1);
  for (std::uint32_t connections : {11U, 41U}) {
    RunIdleTransactions("no reclaim", connections, kNever, kNever, seed);
    RunIdleTransactions("idle limit 30 s", connections, kNever, seconds(30),
                        seed);
    RunIdleTransactions("idle limit 2 s", connections, kNever, seconds(2),
                        seed);
    RunIdleTransactions("demand 2 s, idle limit 30 s", connections, seconds(2),
                        seconds(30), seed);
  }
  MeasureClassChanges();
}

}  // namespace
}  // namespace carawayhaven::bench

int main(int argc, char** argv) {
  using carawayhaven::bench::Report;
  try {
    TCLAP::CmdLine command_line("Adversarial mixes on the queue", ' ');
    TCLAP::ValueArg<std::string> bounds("", "bounds", "file with the targets",
                                        false, "", "file", command_line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed", false,
                                        carawayhaven::bench::kDefaultSeed,
                                        "number", command_line);
    command_line.parse(argc, argv);
    Report report(bounds.getValue(), seed.getValue());
    for (std::uint32_t slots : {3U, 5U}) {
      carawayhaven::bench::Mixes(report, slots);
    }
    if (!report.checks_bounds()) {
      carawayhaven::bench::RunCasesWithoutTarget(report.seed());
    }
    return report.passed() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
