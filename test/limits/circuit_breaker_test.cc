#include "core/limits/circuit_breaker.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

class CircuitBreakerTest : public testing::Test {
 protected:
  void Fail(std::uint32_t times) {
    for (std::uint32_t i = 0; i < times; ++i) breaker_.OnFailure(now_);
  }

  TimePoint now_{std::chrono::seconds(1)};
  CircuitBreaker breaker_;
};

TEST_F(CircuitBreakerTest, FewerFailuresThanThresholdStaysClosed) {
  Fail(CircuitBreaker::kFailureThreshold - 1);
  breaker_.OnSuccess();
  Fail(CircuitBreaker::kFailureThreshold - 1);
  EXPECT_TRUE(breaker_.TryAcquire(now_));
}

// Guards against concurrent probes of an endpoint that has just recovered.
TEST_F(CircuitBreakerTest, PauseEndsOnlyOneProbeIsAllowed) {
  Fail(CircuitBreaker::kFailureThreshold);
  EXPECT_FALSE(breaker_.TryAcquire(now_));
  now_ += CircuitBreaker::kInitialPause;
  EXPECT_TRUE(breaker_.TryAcquire(now_));
  EXPECT_FALSE(breaker_.TryAcquire(now_));
  breaker_.OnSuccess();
  EXPECT_TRUE(breaker_.TryAcquire(now_));
}

TEST_F(CircuitBreakerTest, ProbesFailPauseDoublesToLongest) {
  Fail(CircuitBreaker::kFailureThreshold);
  for (int i = 0; i < 10; ++i) {
    now_ = breaker_.RetryAt();
    ASSERT_TRUE(breaker_.TryAcquire(now_));
    Fail(1);
  }
  EXPECT_EQ(breaker_.RetryAt(), now_ + CircuitBreaker::kMaxPause);
}

}  // namespace
}  // namespace carawayhaven
