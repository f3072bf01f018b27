#include "core/queue/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace carawayhaven {
namespace {

constexpr double kFirstBucketUs = 50;
constexpr double kBucketRatio = 1.25;
constexpr double kHalfLifeObservations = 200;
/// Weights are scaled down at this value, before they exceed the precision of a
/// float.
constexpr double kMaxWeight = 1e6;

int BucketOf(Duration value) {
  const auto us = static_cast<double>(value.count());
  if (us <= kFirstBucketUs) return 0;
  return static_cast<int>(
      std::ceil(std::log(us / kFirstBucketUs) / std::log(kBucketRatio)));
}

}  // namespace

void DecayingHistogram::Add(Duration value) {
  static const double growth = std::exp2(1 / kHalfLifeObservations);
  const int bucket = std::min(BucketOf(value), kBuckets - 1);
  weights_[bucket] += static_cast<float>(next_weight_);
  total_weight_ += next_weight_;
  sum_us_ += next_weight_ * static_cast<double>(value.count());
  next_weight_ *= growth;
  ++count_;
  if (next_weight_ < kMaxWeight) return;
  for (float& weight : weights_) {
    weight /= static_cast<float>(next_weight_);
  }
  total_weight_ /= next_weight_;
  sum_us_ /= next_weight_;
  next_weight_ = 1;
}

Duration DecayingHistogram::Quantile(double quantile) const {
  if (count_ == 0) return Duration{0};
  double remaining = quantile * total_weight_;
  for (int i = 0; i < kBuckets; ++i) {
    remaining -= weights_[i];
    if (remaining <= 0) {
      return Duration(std::llround(kFirstBucketUs * std::pow(kBucketRatio, i)));
    }
  }
  return Duration(
      std::llround(kFirstBucketUs * std::pow(kBucketRatio, kBuckets - 1)));
}

Duration DecayingHistogram::Mean() const {
  return Duration(count_ == 0 ? 0 : std::llround(sum_us_ / total_weight_));
}

}  // namespace carawayhaven
