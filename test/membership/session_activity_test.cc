#include "core/membership/session_activity.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

using std::chrono::seconds;
using State = SessionActivity::State;

class SessionActivityOfPlacedVm : public ::testing::Test {
 protected:
  SessionActivityOfPlacedVm() {
    activity_.Update({.selected_by_placement = true, .sessions = 3}, now_);
  }

  TimePoint now_ = TimePoint(std::chrono::hours(1));
  SessionActivity activity_;
};

TEST(SessionActivityAtStart, NeverPlacedItIsInactive) {
  SessionActivity activity;
  EXPECT_EQ(activity.Update({}, TimePoint(seconds(1))), State::kInactive);
}

TEST_F(SessionActivityOfPlacedVm, PlacementMovesForAMomentItStaysActive) {
  EXPECT_EQ(activity_.Update({.sessions = 3}, now_ + seconds(4)),
            State::kActive);
}

// Two VMs join a data centre, and the placement moves to them: callers whose
// sessions are still here must be served until they have moved.
TEST_F(SessionActivityOfPlacedVm, PlacementMovesSessionsAreLeftItLeaves) {
  EXPECT_EQ(activity_.Update({.sessions = 3}, now_ + seconds(6)),
            State::kDraining);
  EXPECT_EQ(activity_.Update({.sessions = 1}, now_ + seconds(60)),
            State::kDraining);
}

TEST_F(SessionActivityOfPlacedVm, PlacementMovesNoSessionIsLeftItIsInactive) {
  EXPECT_EQ(activity_.Update({}, now_ + seconds(6)), State::kInactive);
}

TEST_F(SessionActivityOfPlacedVm, PlacementMovesItHoldsTheDutyItStaysActive) {
  EXPECT_EQ(activity_.Update({.is_leader = true}, now_ + seconds(6)),
            State::kActive);
}

TEST_F(SessionActivityOfPlacedVm, PlacementComesBackItIsActiveAgain) {
  activity_.Update({.sessions = 3}, now_ + seconds(6));
  EXPECT_EQ(activity_.Update({.selected_by_placement = true, .sessions = 3},
                             now_ + seconds(7)),
            State::kActive);
}

}  // namespace
}  // namespace carawayhaven
