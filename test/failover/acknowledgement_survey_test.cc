#include "core/failover/acknowledgement_survey.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace carawayhaven {
namespace {

using std::chrono::seconds;

class SurveyOfTwoVms : public ::testing::Test {
 protected:
  SurveyOfTwoVms() { survey_.SetServices({"registro"}, now_); }

  void Answer(const VmName& vm, std::uint64_t index, TimePoint started_by) {
    const AcknowledgedPosition position{"registro", {1, index}};
    survey_.RecordAnswer(vm, now_, started_by, {&position, 1});
  }
  std::optional<LogPosition> Highest() const {
    return survey_.Highest("registro", vms_, now_ - seconds(5));
  }

  const TimePoint now_ = TimePoint(seconds(100));
  const std::vector<VmName> vms_ = {"vm-1", "vm-2"};
  AcknowledgementSurvey survey_;
};

// Guards against an unknown position that counts as no commit.
TEST_F(SurveyOfTwoVms, OneHasNotAnsweredNothingIsKnown) {
  Answer("vm-1", 7, now_ - seconds(50));
  EXPECT_TRUE(survey_.NeedsAnswer("vm-2"));
  EXPECT_FALSE(Highest());
  survey_.RecordAnswer("vm-2", now_, now_ - seconds(50), {});
  EXPECT_TRUE(survey_.NeedsAnswer("vm-2"));
  EXPECT_FALSE(Highest());
  Answer("vm-2", 9, now_ - seconds(50));
  EXPECT_FALSE(survey_.NeedsAnswer("vm-2"));
  EXPECT_EQ(Highest(), (LogPosition{1, 9}));
}

// Guards against a process that does not know what its predecessor reported.
TEST_F(SurveyOfTwoVms, OneHasStartedAgainNothingIsKnown) {
  Answer("vm-1", 7, now_ - seconds(50));
  Answer("vm-2", 0, now_ - seconds(4));
  EXPECT_FALSE(Highest());
}

// Guards against an answer from before the last lease ended.
TEST_F(SurveyOfTwoVms, AnswerIsOlderThanTheSurveyItIsNotUsed) {
  Answer("vm-1", 7, now_ - seconds(50));
  Answer("vm-2", 7, now_ - seconds(50));
  ASSERT_TRUE(Highest());
  survey_.SetServices({}, now_);
  survey_.SetServices({"registro"}, now_ + seconds(1));
  Answer("vm-1", 7, now_ - seconds(50));
  EXPECT_TRUE(survey_.NeedsAnswer("vm-1"));
  EXPECT_FALSE(Highest());
}

}  // namespace
}  // namespace carawayhaven
