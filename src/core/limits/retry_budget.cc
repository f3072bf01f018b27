#include "core/limits/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace carawayhaven {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), min_rate_tokens_(options.min_per_second) {}

void RetryBudget::OnRequest() {
  earned_tokens_ =
      std::min(options_.max_saved, earned_tokens_ + options_.ratio);
}

bool RetryBudget::TryTake(TimePoint now) {
  if (earned_tokens_ >= 1) {
    earned_tokens_ -= 1;
    return true;
  }
  const std::chrono::duration<double> passed = now - refilled_at_;
  refilled_at_ = now;
  min_rate_tokens_ =
      std::min(options_.min_per_second,
               min_rate_tokens_ + passed.count() * options_.min_per_second);
  if (min_rate_tokens_ < 1) return false;
  min_rate_tokens_ -= 1;
  return true;
}

}  // namespace carawayhaven
