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

/// The fixed seeds, or "A-B" from the environment for scripts/soak.
std::vector<std::uint64_t> Seeds() {
  const char* text = std::getenv("CARAWAYHAVEN_SEEDS");
  if (text == nullptr) text = "1-96";
  char* rest = nullptr;
  std::vector<std::uint64_t> seeds(1, std::strtoull(text, &rest, 10));
  const std::uint64_t last =
      *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : seeds.front();
  while (seeds.back() < last) seeds.push_back(seeds.back() + 1);
  // A pool that waited for ever for a confirm of an ended term.
  if (std::getenv("CARAWAYHAVEN_SEEDS") == nullptr) seeds.push_back(177);
  return seeds;
}

class HistoryWithFaults : public testing::TestWithParam<std::uint64_t> {};

// Guards against each violation of the invariants that a caller could see:
// writes that are lost, doubled or wrongly reported, stale reads of own writes,
// mixed transactions, and answers of other requests.
TEST_P(HistoryWithFaults, FaultsHappenKeepsTheInvariants) {
  FakeProxies world(GetParam());
  world.Run();
  const auto& log = world.group[world.group.CurrentPrimary()].log;
  const auto violations = HistoryChecker(world.history, log).Check();
  for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 5);
       ++i) {
    ADD_FAILURE() << violations[i];
  }
  // A run without successful writes and reads would check nothing.
  const auto ran = std::count_if(
      world.history.begin(), world.history.end(), [](const auto& recorded) {
        return recorded.answer && recorded.answer->verdict == Verdict::kRan;
      });
  EXPECT_GT(ran, 500);
  if (HasFailure()) {
    std::string text = "seed " + std::to_string(GetParam()) + ": " +
                       std::to_string(violations.size()) + " violations of " +
                       std::to_string(world.history.size()) + " requests";
    for (const std::string& fault : world.schedule) text += "\n  " + fault;
    ADD_FAILURE() << text;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, HistoryWithFaults, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace carawayhaven
