#include "core/limits/retry_budget.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>

#include "core/limits/backoff.h"

namespace carawayhaven {
namespace {

class RetryBudgetOfService : public testing::Test {
 protected:
  int TakeAll(std::int64_t seconds) {
    int taken = 0;
    while (budget_.TryTake(TimePoint(std::chrono::seconds(seconds)))) ++taken;
    return taken;
  }
  RetryBudget budget_;
};

// Guards against retries that add more than 10 % to the load of an overload.
TEST_F(RetryBudgetOfService, ThousandRequestsEarnOneHundredRetries) {
  TakeAll(1);
  for (int i = 0; i < 1001; ++i) budget_.OnRequest();
  EXPECT_NEAR(TakeAll(1), 100, 1);
}

// Guards against a service with too few requests to earn any retry.
TEST_F(RetryBudgetOfService, NoRequestsGrantTenASecond) {
  TakeAll(1);
  EXPECT_EQ(TakeAll(2), 10);
  EXPECT_EQ(TakeAll(60), 10);
}

class BackoffOfRequest : public testing::Test {};

// Guards against delays above the bound and against delays without jitter.
TEST_F(BackoffOfRequest, DelaysDoubleUpToTheLastBound) {
  std::mt19937_64 random(1);
  Duration longest_first{0};
  for (int i = 0; i < 200; ++i) {
    longest_first = std::max(longest_first, Backoff().Next(random));
  }
  EXPECT_LE(longest_first, Backoff::kInitialBound);
  EXPECT_GT(longest_first, Backoff::kInitialBound / 2);
  Backoff backoff;
  Duration longest{0};
  for (int i = 0; i < 200; ++i) {
    longest = std::max(longest, backoff.Next(random));
  }
  EXPECT_LE(longest, Backoff::kMaxBound);
  EXPECT_GT(longest, Backoff::kMaxBound / 2);
}

}  // namespace
}  // namespace carawayhaven
