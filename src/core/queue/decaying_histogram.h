#ifndef CARAWAYHAVEN_CORE_QUEUE_DECAYING_HISTOGRAM_H_
#define CARAWAYHAVEN_CORE_QUEUE_DECAYING_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Quantiles and mean of recent durations in constant memory. The weight of an
/// observation halves with every 200 observations after it. Not thread-safe.
class DecayingHistogram {
 public:
  void Add(Duration value);

  /// Returns the upper bound of the bucket that contains the quantile; zero
  /// when empty.
  Duration Quantile(double quantile) const;

  /// Returns the weighted mean; zero when empty.
  Duration Mean() const;

  /// Number of values added, without decay.
  std::uint64_t count() const { return count_; }

 private:
  // Buckets that grow by a ratio of 1.25 from 50 us cover 60 s. The relative
  // error is below 25%, which is small compared with the factor 8 between short
  // and long work.
  static constexpr int kBuckets = 64;

  std::array<float, kBuckets> weights_{};
  double total_weight_ = 0;
  double sum_us_ = 0;
  double next_weight_ = 1;
  std::uint64_t count_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_DECAYING_HISTOGRAM_H_
