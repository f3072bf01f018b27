#include "core/queue/cost_estimator.h"

#include <gtest/gtest.h>

#include "core/queue/admission_control.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

class CostEstimatorTest : public testing::Test {
 protected:
  void Observe(std::uint64_t fingerprint, Duration run_time, int times) {
    for (int i = 0; i < times; ++i) costs_.Observe(fingerprint, run_time);
  }

  CostEstimator costs_{8.0};
};

TEST_F(CostEstimatorTest, NinetyPercentShortP90IsWithinOneBucket) {
  for (int i = 0; i < 100; ++i) {
    Observe(1, milliseconds(4), 8);
    Observe(1, milliseconds(40), 2);
  }
  EXPECT_GE(costs_.Estimate(1).p90, milliseconds(40));
  EXPECT_LE(costs_.Estimate(1).p90, milliseconds(50));
}

// Guards against a statement that is still classified as long after its runs
// have become short.
TEST_F(CostEstimatorTest, StatementBecomesShortEstimateForgets) {
  Observe(2, milliseconds(4), 500);
  Observe(1, milliseconds(400), 50);
  EXPECT_TRUE(costs_.IsLong(1));
  Observe(1, milliseconds(4), 800);
  EXPECT_FALSE(costs_.IsLong(1));
}

TEST_F(CostEstimatorTest, UnknownStatementIsShort) {
  Observe(1, milliseconds(4), 100);
  EXPECT_FALSE(costs_.IsLong(99));
  EXPECT_FALSE(costs_.Estimate(99).known);
}

// Guards against memory use that grows with the number of statement texts.
TEST_F(CostEstimatorTest, ManyFingerprintsOldestIsForgotten) {
  for (std::uint64_t i = 0; i < 5000; ++i) Observe(i, milliseconds(1), 1);
  EXPECT_EQ(costs_.size(), CostEstimator::kMaxFingerprints);
  EXPECT_FALSE(costs_.Estimate(0).known);
}

class AdmissionControlTest : public testing::Test {};

// Guards against accepting work that occupies a slot and then misses its
// deadline.
TEST_F(AdmissionControlTest, WaitPlusCostAboveTimeLeftIsRefusedWithExcess) {
  const QueueLoad load{milliseconds(300), 3, false};
  EXPECT_FALSE(
      AdmissionControl::Refuse(load, milliseconds(10), milliseconds(110), 0));
  EXPECT_EQ(
      AdmissionControl::Refuse(load, milliseconds(10), milliseconds(60), 0),
      Duration(milliseconds(50)));
}

}  // namespace
}  // namespace carawayhaven
