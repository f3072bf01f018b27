#include "core/failover/replica_selection.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace carawayhaven {
namespace {

std::optional<LogPosition> At(std::uint64_t index) {
  return LogPosition{1, index};
}

// Guards against a promotion that loses acknowledged commits, and against one
// that is held back although the logs that are known hold all of them.
struct SelectionCase {
  const char* name;
  std::vector<ReplicaLog> replicas;
  std::uint32_t sync_replicas;
  std::optional<LogPosition> log_end;
  std::string best;
  bool is_complete;
  std::string unmatched;
};

class ReplicaSelectionOf : public ::testing::TestWithParam<SelectionCase> {};

TEST_P(ReplicaSelectionOf, LogsOnlyACompleteOneMayBePromoted) {
  const SelectionCase& test = GetParam();
  const ReplicaSelection selection =
      SelectReplica(test.replicas, test.sync_replicas, test.log_end);
  EXPECT_EQ(selection.best == nullptr ? "" : selection.best->endpoint,
            test.best);
  EXPECT_EQ(selection.is_complete, test.is_complete);
  EXPECT_EQ(selection.unmatched == nullptr ? "" : selection.unmatched->endpoint,
            test.unmatched);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ReplicaSelectionOf,
    ::testing::Values(
        SelectionCase{"NoReplica", {}, 1, {}, "", false, ""},
        SelectionCase{"NothingKnown",
                      {{"a", {}, {}, true}, {"b", {}, {}, true}},
                      1,
                      {},
                      "",
                      false,
                      "a"},
        SelectionCase{"AllKnown",
                      {{"a", At(5), At(5), true}, {"b", At(7), At(7), true}},
                      1,
                      {},
                      "b",
                      true,
                      ""},
        SelectionCase{"OneUnknown",
                      {{"a", At(5), At(5), true}, {"b", {}, {}, true}},
                      1,
                      {},
                      "a",
                      false,
                      "b"},
        SelectionCase{"OneUnknownCommitsNeedNoReplica",
                      {{"a", At(5), At(5), true}, {"b", {}, {}, true}},
                      0,
                      {},
                      "a",
                      true,
                      ""},
        SelectionCase{"OneUnknownCommitsNeedTwo",
                      {{"a", At(5), At(5), true},
                       {"b", {}, {}, true},
                       {"c", At(6), At(6), true}},
                      2,
                      {},
                      "c",
                      true,
                      ""},
        SelectionCase{"TwoUnknownCommitsNeedTwo",
                      {{"a", At(5), At(5), true},
                       {"b", {}, {}, true},
                       {"c", {}, {}, true}},
                      2,
                      {},
                      "a",
                      false,
                      "c"},
        SelectionCase{"UnknownEndBeyondTheOthers",
                      {{"a", At(5), At(5), true}, {"b", At(9), {}, true}},
                      1,
                      {},
                      "b",
                      true,
                      ""},
        SelectionCase{"UnknownEndBehindTheOthers",
                      {{"a", At(5), At(5), true}, {"b", At(3), {}, true}},
                      1,
                      {},
                      "a",
                      false,
                      "b"},
        SelectionCase{"EqualLogsOneEndUnknown",
                      {{"a", At(5), At(5), true}, {"b", At(5), {}, true}},
                      1,
                      {},
                      "b",
                      true,
                      ""},
        SelectionCase{"LongestMayNotLead",
                      {{"a", At(5), At(5), true}, {"b", At(7), At(7), false}},
                      1,
                      {},
                      "a",
                      false,
                      "b"},
        SelectionCase{"EndOfThePrimaryReached",
                      {{"a", At(8), At(8), true}, {"b", {}, {}, true}},
                      1,
                      At(8),
                      "a",
                      true,
                      ""},
        SelectionCase{"EndOfThePrimaryNotReached",
                      {{"a", At(7), At(7), true}, {"b", {}, {}, true}},
                      1,
                      At(8),
                      "a",
                      false,
                      "b"},
        SelectionCase{"LongerLogOfAnOlderTerm",
                      {{"a", LogPosition{2, 3}, LogPosition{2, 3}, true},
                       {"b", At(9), At(9), true}},
                      1,
                      {},
                      "a",
                      true,
                      ""}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace carawayhaven
