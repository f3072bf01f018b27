#include "core/limits/limit_bucket.h"

#include <algorithm>
#include <cmath>

namespace carawayhaven {
namespace {

// Time constant, in seconds, of the average that estimates the demand.
constexpr double kDemandTime = 1.0;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void LimitBucket::SetSize(const BucketSize& size, TimePoint now) {
  Update(now);
  size_ = size;
  has_size_ = has_size_ || size.rate_per_s > 0;
  Update(now);
}

double LimitBucket::Level(TimePoint now) {
  Update(now);
  return level_;
}

bool LimitBucket::TryTake(TimePoint now) {
  Update(now);
  if (level_ < 1) return false;
  level_ -= 1;
  return true;
}

void LimitBucket::TakeForced(TimePoint now) {
  Update(now);
  level_ -= 1;
}

void LimitBucket::Lend(double tokens, TimePoint now) {
  Update(now);
  level_ -= tokens;
  AddLoan({now + kLoanTime, -tokens});
}

void LimitBucket::Borrow(double tokens, TimePoint requested, TimePoint now) {
  if (tokens <= 0 || now >= requested + kLoanTime) return;
  Update(now);
  AddLoan({requested + kLoanTime, tokens});
  level_ += tokens;
}

void LimitBucket::RecordDemand(TimePoint now) {
  recent_operations_ = Demand(now) * kDemandTime + 1;
  demand_updated_ = now;
}

double LimitBucket::Demand(TimePoint now) const {
  return recent_operations_ / kDemandTime *
         std::exp(-SecondsBetween(demand_updated_, now) / kDemandTime);
}

void LimitBucket::AddLoan(Loan loan) {
  loaned_capacity_ += loan.capacity_change;
  const auto place = std::upper_bound(
      loans_.begin(), loans_.end(), loan,
      [](const Loan& a, const Loan& b) { return a.ends < b.ends; });
  loans_.insert(place, loan);
}

// Each loan ends at its own time, so that tokens which did not fit before that
// are not added afterwards.
void LimitBucket::Update(TimePoint now) {
  while (!loans_.empty() && loans_.front().ends <= now) {
    FillUntil(loans_.front().ends);
    loaned_capacity_ -= loans_.front().capacity_change;
    loans_.pop_front();
    if (loans_.empty()) loaned_capacity_ = 0;
  }
  FillUntil(now);
}

void LimitBucket::FillUntil(TimePoint time) {
  if (!has_size_) return;
  if (time > updated_) {
    level_ += SecondsBetween(updated_, time) * size_.rate_per_s;
    updated_ = time;
  }
  level_ = std::min(level_, std::max(size_.capacity + loaned_capacity_, 0.0));
}

}  // namespace carawayhaven
