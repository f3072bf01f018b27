#include "core/membership/cut_off_detector.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CutOffDetectorOfAVm : public ::testing::Test {
 protected:
  CutOffDetectorOfAVm() { detector_.Update({true, now_}, now_); }

  /// Updates every 250 ms without a lease. Returns true if the VM was cut off
  /// at any time.
  bool RunWithoutLease(Duration duration, bool store_answers) {
    bool cut_off = false;
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += milliseconds(250);
      if (store_answers) store_answered_at_ = now_;
      cut_off = detector_.Update({false, store_answered_at_}, now_) || cut_off;
    }
    return cut_off;
  }

  TimePoint now_ = TimePoint(seconds(100));
  TimePoint store_answered_at_ = now_;
  CutOffDetector detector_;
};

TEST_F(CutOffDetectorOfAVm, NeitherLeaseNorStoreIsCutOff) {
  EXPECT_FALSE(RunWithoutLease(seconds(2), false));
  EXPECT_TRUE(RunWithoutLease(milliseconds(250), false));
  EXPECT_FALSE(detector_.Update({true, store_answered_at_}, now_));
}

// Guards against idle sessions that are closed because the VM is overloaded or
// no VM has leases.
TEST_F(CutOffDetectorOfAVm, StoreAnswersIsNotCutOff) {
  EXPECT_FALSE(RunWithoutLease(seconds(30), true));
  EXPECT_TRUE(RunWithoutLease(milliseconds(2250), false));
}

// Guards against idle sessions that are closed after the loop was busy, or the
// process paused, for longer than a lease lasts.
TEST_F(CutOffDetectorOfAVm, LoopWasBusyIsNotCutOff) {
  now_ += seconds(5);
  EXPECT_FALSE(detector_.Update({false, store_answered_at_}, now_));
  EXPECT_FALSE(RunWithoutLease(seconds(1), false));
  EXPECT_TRUE(RunWithoutLease(seconds(1), false));
}

}  // namespace
}  // namespace carawayhaven
