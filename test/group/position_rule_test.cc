#include "core/group/position_rule.h"

#include <gtest/gtest.h>

#include <vector>

#include "core/config/team_config.h"
#include "core/group/group_directory.h"
#include "core/peer_message.h"

namespace carawayhaven {
namespace {

struct PositionCase {
  LogPosition replica;
  LogPosition token;
  bool satisfied;
};

class PositionTable : public testing::TestWithParam<PositionCase> {};

// Guards against a read on a replica that lacks a write of the same session,
// because the replica is behind or in another term.
TEST_P(PositionTable, TokenIsComparedFollowsTheRule) {
  const std::vector<LogPosition> starts = {{3, 100}, {4, 150}, {7, 200}};
  EXPECT_EQ(PositionSatisfies(GetParam().replica, GetParam().token, starts),
            GetParam().satisfied);
}

INSTANTIATE_TEST_SUITE_P(
    Rule, PositionTable,
    testing::Values(PositionCase{{0, 0}, {0, 0}, true},
                    PositionCase{{4, 160}, {4, 160}, true},
                    PositionCase{{4, 160}, {4, 161}, false},
                    // A longer log of an older term.
                    PositionCase{{3, 999}, {4, 151}, false},
                    // A token of an older term, before and after the start of
                    // the first term after it.
                    PositionCase{{4, 149}, {3, 149}, true},
                    PositionCase{{4, 148}, {3, 149}, false},
                    PositionCase{{4, 150}, {3, 170}, true},
                    PositionCase{{7, 149}, {3, 170}, false},
                    PositionCase{{7, 150}, {3, 170}, true},
                    // Older than the kept starts.
                    PositionCase{{7, 500}, {2, 1}, false},
                    // The replica's term is newer than any known start.
                    PositionCase{{9, 500}, {8, 1}, false}));

class DirectoryOfManyTerms : public testing::Test {
 protected:
  DirectoryOfManyTerms() { service_.name = "s"; }

  ServiceConfig service_;
  GroupDirectory directory_;
};

// Guards against a store object that grows with every promotion.
TEST_F(DirectoryOfManyTerms, UpdateIsAppliedKeepsTheNewestTermStarts) {
  GroupUpdateMessage update{"s", 100, "e", {}};
  for (Term term = 1; term <= 100; ++term) {
    update.term_starts.push_back({term, term * 10});
  }
  ASSERT_TRUE(directory_.Apply(update));
  const GroupView& view = directory_.ViewOf(service_);
  ASSERT_EQ(view.term_starts.size(), GroupDirectory::kMaxTermStarts);
  EXPECT_EQ(view.term_starts.front().term, 37U);
  EXPECT_FALSE(directory_.Satisfies(service_, {100, 5000}, {36, 1}));
  EXPECT_TRUE(directory_.Satisfies(service_, {100, 5000}, {37, 1}));
}

// Guards against losing the term starts of a published term when the term was
// first learned from an endpoint, which does not report them.
TEST_F(DirectoryOfManyTerms, StartsArriveLaterAreTakenOnce) {
  ASSERT_TRUE(directory_.Apply({"s", 3, "e", {}}));
  EXPECT_FALSE(directory_.Satisfies(service_, {3, 50}, {2, 1}));
  EXPECT_TRUE(directory_.Apply({"s", 3, "e", {{2, 5}, {3, 9}}}));
  EXPECT_TRUE(directory_.Satisfies(service_, {3, 50}, {2, 1}));
  EXPECT_FALSE(directory_.Apply({"s", 3, "e", {{2, 5}, {3, 9}}}));
  EXPECT_FALSE(directory_.Apply({"s", 2, "e", {{2, 5}}}));
}

}  // namespace
}  // namespace carawayhaven
