#include "core/limits/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace carawayhaven {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), least_(options.least_per_second) {}

void RetryBudget::OnRequest() {
  earned_ = std::min(options_.most_saved, earned_ + options_.ratio);
}

bool RetryBudget::TryTake(TimePoint now) {
  if (earned_ >= 1) {
    earned_ -= 1;
    return true;
  }
  const std::chrono::duration<double> passed = now - refilled_at_;
  refilled_at_ = now;
  least_ = std::min(options_.least_per_second,
                    least_ + passed.count() * options_.least_per_second);
  if (least_ < 1) return false;
  least_ -= 1;
  return true;
}

}  // namespace carawayhaven
