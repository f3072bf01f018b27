#ifndef CARAWAYHAVEN_CORE_LIMITS_RETRY_BUDGET_H_
#define CARAWAYHAVEN_CORE_LIMITS_RETRY_BUDGET_H_

#include "carawayhaven/time.h"

namespace carawayhaven {

struct RetryBudgetOptions {
  /// Retries earned by each request.
  double ratio = 0.1;
  /// Retries granted per second when there are too few requests to earn any.
  double min_per_second = 10;
  /// Maximum of earned and unused retries: those of 1,000 requests. A larger
  /// maximum would allow a burst of retries after a long idle period.
  double max_saved = 100;
};

/// Token bucket that limits the retries of one service, so that retries do not
/// amplify an overload. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  /// Records the first attempt of a request.
  void OnRequest();

  /// Takes one retry from the budget. Returns false if none is left.
  bool TryTake(TimePoint now);

 private:
  RetryBudgetOptions options_;
  double earned_tokens_ = 0;
  double min_rate_tokens_;
  TimePoint refilled_at_{};
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_RETRY_BUDGET_H_
