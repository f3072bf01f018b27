#include "core/session/position_history.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

class PositionHistoryOfAPrimary : public ::testing::Test {
 protected:
  static TimePoint At(int ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
  }

  PositionHistory history_;
};

TEST_F(PositionHistoryOfAPrimary, NoAnswerNothingIsCovered) {
  EXPECT_EQ(history_.PositionCovering(At(0)), std::nullopt);
  EXPECT_EQ(history_.Newest(), std::nullopt);
}

TEST_F(PositionHistoryOfAPrimary, AnswerIsTooOldNothingIsCovered) {
  history_.Add(At(100), {1, 5});
  EXPECT_EQ(history_.PositionCovering(At(101)), std::nullopt);
  EXPECT_EQ(history_.PositionCovering(At(100)), (LogPosition{1, 5}));
}

TEST_F(PositionHistoryOfAPrimary,
       SeveralRepliesLowestCoveringPositionIsReturned) {
  history_.Add(At(100), {1, 5});
  history_.Add(At(200), {1, 8});
  history_.Add(At(300), {1, 9});
  EXPECT_EQ(history_.PositionCovering(At(150)), (LogPosition{1, 8}));
}

// The reply with position 9 was produced before the one with 12, and its
// statement was sent later (at 300 ms), so every commit acknowledged before
// 300 ms is at or below position 9.
TEST_F(PositionHistoryOfAPrimary,
       RepliesComeOutOfOrderLowestCoveringPositionIsReturned) {
  history_.Add(At(300), {1, 9});
  history_.Add(At(100), {1, 12});
  EXPECT_EQ(history_.PositionCovering(At(200)), (LogPosition{1, 9}));
  EXPECT_EQ(history_.PositionCovering(At(50)), (LogPosition{1, 9}));
  EXPECT_EQ(history_.PositionCovering(At(301)), std::nullopt);
}

// With a full queue on the primary, replies to statements take a second,
// replies to probes some milliseconds. The slow replies must not raise the
// position that replicas are required to have by a second's worth of commits.
TEST_F(PositionHistoryOfAPrimary, BusyPrimarySlowAnswersDoNotRaiseQuickOnes) {
  for (int ms = 0; ms < 3000; ms += 100) {
    const auto position = static_cast<std::uint64_t>(ms);
    history_.Add(At(ms), {1, position});
    if (ms >= 1000) history_.Add(At(ms - 1000), {1, position});
  }
  const auto covering = history_.PositionCovering(At(1450));
  ASSERT_TRUE(covering.has_value());
  EXPECT_EQ(covering->index, 1500U);
}

TEST_F(PositionHistoryOfAPrimary, NewTermPositionsOfTheOldOneAreForgotten) {
  history_.Add(At(100), {1, 50});
  history_.Add(At(200), {2, 40});
  EXPECT_EQ(history_.PositionCovering(At(50)), (LogPosition{2, 40}));
  history_.Add(At(300), {1, 60});
  EXPECT_EQ(history_.PositionCovering(At(250)), std::nullopt);
}

TEST_F(PositionHistoryOfAPrimary,
       CommitOfEarlierTermStartOfLatestTermIsRequired) {
  history_.Add(At(100), {1, 50});
  EXPECT_EQ(history_.SurvivingPosition({1, 70}), (LogPosition{1, 70}));
  history_.Add(At(200), {2, 40});
  EXPECT_EQ(history_.SurvivingPosition({1, 70}), (LogPosition{2, 40}));
  EXPECT_EQ(history_.SurvivingPosition({}), LogPosition{});
}

// Guards against a sample beyond the end of a log that counts as part of it.
TEST_F(PositionHistoryOfAPrimary, LogEndsBetweenSamplesTheOneBeforeIsFound) {
  EXPECT_FALSE(history_.NewestUpTo({9, 9}));
  history_.Add(At(100), {1, 50});
  history_.Add(At(200), {1, 60});
  EXPECT_FALSE(history_.NewestUpTo({1, 49}));
  EXPECT_EQ(history_.NewestUpTo({1, 59})->at, At(100));
  EXPECT_EQ(history_.NewestUpTo({1, 60})->at, At(200));
  EXPECT_EQ(history_.NewestUpTo({2, 1})->position, (LogPosition{1, 60}));
}

TEST_F(PositionHistoryOfAPrimary, DenseAnswersMemoryIsBoundedAndCovers) {
  for (int ms = 0; ms < 60'000; ms += 5) {
    history_.Add(At(ms), {1, static_cast<std::uint64_t>(ms)});
  }
  const auto covering = history_.PositionCovering(At(58'500));
  ASSERT_TRUE(covering.has_value());
  EXPECT_GE(covering->index, 58'500U);
  EXPECT_LE(covering->index, 58'560U);
}

}  // namespace
}  // namespace carawayhaven
