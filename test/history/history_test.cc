#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "history/fake_proxies.h"
#include "history/history_checker.h"

namespace carawayhaven {
namespace {

/// The fixed seeds, or the seed "A" or range "A-B" of CARAWAYHAVEN_SEEDS.
std::vector<std::uint64_t> Seeds() {
  const char* text = std::getenv("CARAWAYHAVEN_SEEDS");
  if (text == nullptr) text = "1-96";
  char* rest = nullptr;
  std::vector<std::uint64_t> seeds(1, std::strtoull(text, &rest, 10));
  const std::uint64_t last =
      *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : seeds.front();
  while (seeds.back() < last) seeds.push_back(seeds.back() + 1);
  // With seed 177, a pool once waited without end for a confirmation of a term
  // that was over.
  if (std::getenv("CARAWAYHAVEN_SEEDS") == nullptr) seeds.push_back(177);
  return seeds;
}

class HistoryWithFaults : public testing::TestWithParam<std::uint64_t> {};

// Guards against the violations that a caller can observe under faults: lost,
// duplicated or wrongly reported writes, reads that miss the session's own
// writes, transactions that are not atomic, and answers to other requests.
TEST_P(HistoryWithFaults, FaultsHappenKeepsTheInvariants) {
  ProxySimulation simulation(GetParam());
  simulation.Run();
  const auto& log = simulation.group[simulation.group.CurrentPrimary()].log;
  const auto violations = HistoryChecker(simulation.history, log).Check();
  for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 5);
       ++i) {
    ADD_FAILURE() << violations[i];
  }
  // Without successful reads and writes the checks above would be vacuous.
  const auto ran = std::count_if(
      simulation.history.begin(), simulation.history.end(),
      [](const auto& recorded) {
        return recorded.answer && recorded.answer->verdict == Verdict::kRan;
      });
  EXPECT_GT(ran, 500);
  if (HasFailure()) {
    std::string text = "seed " + std::to_string(GetParam()) + ": " +
                       std::to_string(violations.size()) + " violations of " +
                       std::to_string(simulation.history.size()) + " requests";
    for (const std::string& fault : simulation.schedule) text += "\n  " + fault;
    ADD_FAILURE() << text;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, HistoryWithFaults, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace carawayhaven
