#include "core/queue/cost_estimator.h"

#include <xxhash.h>

#include <chrono>

#include "carawayhaven/request.h"

namespace carawayhaven {
namespace {

constexpr double kCostQuantile = 0.9;
/// With fewer observations the median is not meaningful.
constexpr std::uint64_t kMinObservations = 20;
/// Weight of one new statement in the moving average. The share starts at one
/// and falls below kOftenLongShare after about 60 new statements that were all
/// short.
constexpr double kNewStatementWeight = 0.05;
constexpr double kOftenLongShare = 0.05;

}  // namespace

std::uint64_t CostEstimator::FingerprintOf(const Request& request) {
  const std::uint64_t service =
      XXH3_64bits(request.service.data(), request.service.size());
  return XXH3_64bits_withSeed(
      request.statement.data(), request.statement.size(),
      service + static_cast<std::uint64_t>(request.kind));
}

void CostEstimator::Observe(std::uint64_t fingerprint, Duration run_time) {
  all_run_times_.Add(run_time);
  Entry& entry = FindOrCreateEntry(fingerprint, run_time);
  if (entry.provisional) entry.histogram = DecayingHistogram();
  entry.provisional = false;
  entry.histogram.Add(run_time);
}

void CostEstimator::ObserveRunning(std::uint64_t fingerprint,
                                   Duration elapsed) {
  // One slow run must not move a statement that is known to be short to the
  // long class.
  if (by_fingerprint_.contains(fingerprint)) return;
  Entry& entry = FindOrCreateEntry(fingerprint, elapsed);
  entry.provisional = true;
  entry.histogram.Add(elapsed);
}

CostEstimate CostEstimator::Estimate(std::uint64_t fingerprint) const {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found == by_fingerprint_.end()) {
    const Duration median = all_run_times_.Quantile(0.5);
    return {median, median, false};
  }
  const DecayingHistogram& histogram = found->second->histogram;
  return {histogram.Mean(), histogram.Quantile(kCostQuantile), true};
}

Duration CostEstimator::LongLimit() const {
  if (all_run_times_.count() < kMinObservations) return Duration::max();
  return std::chrono::duration_cast<Duration>(all_run_times_.Quantile(0.5) *
                                              long_factor_);
}

bool CostEstimator::IsLong(std::uint64_t fingerprint) const {
  return Estimate(fingerprint).p90 > LongLimit();
}

bool CostEstimator::NewStatementsAreOftenLong() const {
  return long_share_of_new_ > kOftenLongShare;
}

CostEstimator::Entry& CostEstimator::FindOrCreateEntry(
    std::uint64_t fingerprint, Duration run_time) {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found != by_fingerprint_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second);
    return *found->second;
  }
  long_share_of_new_ +=
      kNewStatementWeight *
      ((run_time >= LongLimit() ? 1 : 0) - long_share_of_new_);
  if (by_fingerprint_.size() >= kMaxFingerprints) {
    by_fingerprint_.erase(lru_.back().fingerprint);
    lru_.pop_back();
  }
  lru_.push_front({fingerprint, DecayingHistogram(), false});
  by_fingerprint_[fingerprint] = lru_.begin();
  return lru_.front();
}

}  // namespace carawayhaven
