#include "core/membership/session_activity.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

using std::chrono::seconds;
using State = SessionActivity::State;

class SessionActivityOfSelectedVm : public ::testing::Test {
 protected:
  SessionActivityOfSelectedVm() {
    activity_.Update({.selected = true, .sessions = 3}, now_);
  }

  TimePoint now_ = TimePoint(std::chrono::hours(1));
  SessionActivity activity_;
};

TEST(SessionActivityAtStart, NeverSelectedIsInactive) {
  SessionActivity activity;
  EXPECT_EQ(activity.Update({}, TimePoint(seconds(1))), State::kInactive);
}

TEST_F(SessionActivityOfSelectedVm, DeselectedForFourSecondsStaysActive) {
  EXPECT_EQ(activity_.Update({.sessions = 3}, now_ + seconds(4)),
            State::kActive);
}

// Guards against callers that are no longer served: when the placement moves to
// two VMs that joined the data centre, existing sessions must continue until
// they have moved.
TEST_F(SessionActivityOfSelectedVm, DeselectedWithSessionsDrains) {
  EXPECT_EQ(activity_.Update({.sessions = 3}, now_ + seconds(6)),
            State::kDraining);
  EXPECT_EQ(activity_.Update({.sessions = 1}, now_ + seconds(60)),
            State::kDraining);
}

TEST_F(SessionActivityOfSelectedVm, DeselectedWithoutSessionsIsInactive) {
  EXPECT_EQ(activity_.Update({}, now_ + seconds(6)), State::kInactive);
}

TEST_F(SessionActivityOfSelectedVm, DeselectedLeaderStaysActive) {
  EXPECT_EQ(activity_.Update({.is_leader = true}, now_ + seconds(6)),
            State::kActive);
}

TEST_F(SessionActivityOfSelectedVm, SelectedAgainIsActive) {
  activity_.Update({.sessions = 3}, now_ + seconds(6));
  EXPECT_EQ(
      activity_.Update({.selected = true, .sessions = 3}, now_ + seconds(7)),
      State::kActive);
}

}  // namespace
}  // namespace carawayhaven
