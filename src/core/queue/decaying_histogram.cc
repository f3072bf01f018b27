#include "core/queue/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace carawayhaven {
namespace {

constexpr double kSmallestUs = 50;
constexpr double kRatio = 1.25;
constexpr double kHalfLife = 200;
/// Weights are rescaled before they exceed the precision of a float.
constexpr double kLargestWeight = 1e6;

int BucketOf(Duration value) {
  const auto us = static_cast<double>(value.count());
  if (us <= kSmallestUs) return 0;
  return static_cast<int>(
      std::ceil(std::log(us / kSmallestUs) / std::log(kRatio)));
}

}  // namespace

void DecayingHistogram::Add(Duration value) {
  static const double growth = std::exp2(1 / kHalfLife);
  const int bucket = std::min(BucketOf(value), kBuckets - 1);
  weights_[bucket] += static_cast<float>(next_weight_);
  total_ += next_weight_;
  sum_us_ += next_weight_ * static_cast<double>(value.count());
  next_weight_ *= growth;
  ++count_;
  if (next_weight_ < kLargestWeight) return;
  for (float& weight : weights_) {
    weight /= static_cast<float>(next_weight_);
  }
  total_ /= next_weight_;
  sum_us_ /= next_weight_;
  next_weight_ = 1;
}

Duration DecayingHistogram::Quantile(double quantile) const {
  if (count_ == 0) return Duration{0};
  double left = quantile * total_;
  for (int i = 0; i < kBuckets; ++i) {
    left -= weights_[i];
    if (left <= 0) {
      return Duration(std::llround(kSmallestUs * std::pow(kRatio, i)));
    }
  }
  return Duration(std::llround(kSmallestUs * std::pow(kRatio, kBuckets - 1)));
}

Duration DecayingHistogram::Mean() const {
  return Duration(count_ == 0 ? 0 : std::llround(sum_us_ / total_));
}

}  // namespace carawayhaven
