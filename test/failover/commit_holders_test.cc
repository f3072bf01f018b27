#include "core/failover/commit_holders.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace carawayhaven {
namespace {

using std::chrono::seconds;

class HoldersOfARecord : public ::testing::Test {
 protected:
  HoldersOfARecord() { holders_.Load(&record_, false); }

  const ReplicaProcess first_{"db-1", 10};
  const ReplicaProcess second_{"db-2", 20};
  const PrimaryRecord record_{
      .primary = "db-0",
      .term = 1,
      .phase = PrimaryPhase::kServing,
      .writes = 1,
      .era = std::nullopt,
      .replaced = {},
      .replicas = std::vector<ReplicaProcess>{first_, second_},
      .base = LogPosition{1, 5},
      .chosen_started_ms = std::nullopt};
  const TimePoint now_ = TimePoint(seconds(100));
  CommitHolders holders_;
};

// Guards against "not recorded" that is taken for "there is none".
TEST_F(HoldersOfARecord, RecordNamesNoneTheyAreUnknown) {
  EXPECT_EQ(holders_.processes().size(), 2U);
  EXPECT_EQ(holders_.base(), (LogPosition{1, 5}));
  PrimaryRecord earlier_release = record_;
  earlier_release.replicas.reset();
  for (const PrimaryRecord* record :
       {&earlier_release, static_cast<PrimaryRecord*>(nullptr)}) {
    holders_.Load(record, false);
    ASSERT_EQ(holders_.holders().size(), 1U);
    EXPECT_TRUE(holders_.holders()[0].IsUnknown());
  }
  holders_.Load(nullptr, true);
  EXPECT_TRUE(holders_.holders().empty());
}

// Guards against an ended process that is forgotten before others hold what it
// has acknowledged, and against one that is remembered when they do.
TEST_F(HoldersOfARecord, OneEndsItIsKeptUntilOthersHaveItsCommits) {
  holders_.SetRunning({&second_, 1}, false, now_);
  EXPECT_TRUE(holders_.HasEnded());
  const LogPosition short_log{1, 7};
  const LogPosition log{1, 8};
  holders_.OnPrimaryPosition({1, 7}, now_ - seconds(1));
  holders_.RemoveMatched({&log, 1}, 1);
  EXPECT_NE(holders_.Find(first_), nullptr);
  holders_.OnPrimaryPosition({1, 8}, now_);
  holders_.OnPrimaryPosition({1, 9}, now_ + seconds(1));
  holders_.RemoveMatched({&short_log, 1}, 1);
  EXPECT_NE(holders_.Find(first_), nullptr);
  holders_.RemoveMatched({&log, 1}, 2);
  EXPECT_NE(holders_.Find(first_), nullptr);
  holders_.RemoveMatched({&log, 1}, 1);
  EXPECT_EQ(holders_.processes(), std::vector<ReplicaProcess>{second_});
  EXPECT_FALSE(holders_.HasEnded());
}

// Guards against a new process that counts as the one that it replaces.
TEST_F(HoldersOfARecord, OneStartsAgainItsFormerProcessHasEnded) {
  const std::vector<ReplicaProcess> running{{"db-1", 11}, second_};
  holders_.SetRunning(running, true, now_);
  ASSERT_NE(holders_.Find(first_), nullptr);
  EXPECT_EQ(holders_.Find(first_)->ended_at, now_);
  EXPECT_TRUE(holders_.Find(first_)->restarted_after_withdrawal);
  EXPECT_EQ(holders_.Find(running[0]), nullptr);
}

// Guards against an endpoint that cannot reach the store and counts as lost.
TEST_F(HoldersOfARecord, OneIsSeenAgainItRunsStill) {
  holders_.SetRunning({&second_, 1}, false, now_);
  const std::vector<ReplicaProcess> running{first_, second_};
  holders_.SetRunning(running, false, now_ + seconds(1));
  EXPECT_FALSE(holders_.HasEnded());
}

// Guards against a wait for holders of commits that the new primary has.
TEST_F(HoldersOfARecord, AnotherIsPrimaryItsBaseReplacesThem) {
  holders_.SetPrimary("db-1", {1, 9});
  EXPECT_TRUE(holders_.processes().empty());
  EXPECT_EQ(holders_.base(), (LogPosition{1, 9}));
}

}  // namespace
}  // namespace carawayhaven
