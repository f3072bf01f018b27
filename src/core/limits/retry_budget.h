#ifndef CARAWAYHAVEN_CORE_LIMITS_RETRY_BUDGET_H_
#define CARAWAYHAVEN_CORE_LIMITS_RETRY_BUDGET_H_

#include "carawayhaven/time.h"

namespace carawayhaven {

struct RetryBudgetOptions {
  /// Retries granted for each request.
  double ratio = 0.1;
  /// Retries granted a second when requests are too few to earn any.
  double min_per_second = 10;
  /// Bound on earned and unused retries: those of 1,000 requests. A larger
  /// store would allow a burst of retries after a long quiet period.
  double max_saved = 100;
};

/// Bounds the retries of one service, so that an overload is not amplified.
/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  /// Counts a first attempt.
  void OnRequest();

  /// Takes one retry. Returns false when none is left.
  bool TryTake(TimePoint now);

 private:
  RetryBudgetOptions options_;
  double earned_tokens_ = 0;
  double min_rate_tokens_;
  TimePoint refilled_at_{};
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_RETRY_BUDGET_H_
