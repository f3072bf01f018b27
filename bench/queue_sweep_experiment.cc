// Measures head-of-line blocking for several loads and shares of stragglers
// with each mechanism of the queue switched off in turn, in virtual time.
// Prints one line per case. Has no bounds, since no target is meaningful at
// some of the loads.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <string>
#include <vector>

#include "queue_loads.h"

namespace carawayhaven::bench {
namespace {

struct Variant {
  std::string name;
  bool QueuePolicy::*switched_off = nullptr;
};

const Variant kVariants[] = {
    {"full policy"},
    {"no class limit", &QueuePolicy::limit_long_work},
    {"no limit on unknown", &QueuePolicy::limit_unknown_cost_work},
    {"no frequent first", &QueuePolicy::frequent_unknown_cost_first},
    {"no ageing", &QueuePolicy::age_long_work},
    {"no reclassification", &QueuePolicy::reclassify_running},
    {"no early refusal", &QueuePolicy::admission_control},
    {"no fairness", &QueuePolicy::fair_between_teams},
};

void Sweep(std::uint32_t slots, std::uint64_t seed) {
  std::printf("%5s %5s %5s %-20s %8s %7s %8s %8s %8s %11s\n", "slots", "load",
              "share", "policy", "P99 ms", "ratio", "ran", "refused", "missed",
              "longest s");
  for (double load : {0.3, 0.5, 0.7, 0.85}) {
    const double base = RunBlocking(slots, load, 0, {}, seed).short_p99_ms;
    for (double share : {0.01, 0.05, 0.20}) {
      for (const Variant& variant : kVariants) {
        QueuePolicy policy;
        if (variant.switched_off != nullptr) {
          policy.*variant.switched_off = false;
        }
        const BlockingResult r = RunBlocking(slots, load, share, policy, seed);
        std::printf(
            "%5u %4.0f%% %4.0f%% %-20s %8.1f %7.2f %8zu %8zu %8zu "
            "%11.1f\n",
            slots, load * 100, share * 100, variant.name.c_str(),
            r.short_p99_ms, r.short_p99_ms / base, r.long_ran, r.long_refused,
            r.starved, r.longest_straggler_s);
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace
}  // namespace carawayhaven::bench

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line("Load sweep of the queue policy", ' ');
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "slots of the endpoint",
                                         false, 3, "number", command_line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed", false,
                                        carawayhaven::bench::kDefaultSeed,
                                        "number", command_line);
    command_line.parse(argc, argv);
    carawayhaven::bench::Sweep(slots.getValue(), seed.getValue());
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
