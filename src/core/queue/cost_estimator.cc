#include "core/queue/cost_estimator.h"

#include <xxhash.h>

#include <chrono>

#include "carawayhaven/request.h"

namespace carawayhaven {
namespace {

constexpr double kCostQuantile = 0.9;
/// Below this number the median of the endpoint says too little.
constexpr std::uint64_t kLeastObservations = 20;
/// The ratio starts at one and falls below the threshold after about 60 new
/// statements that were all short.
constexpr double kNewRatioWeight = 0.05;
constexpr double kSuspectRatio = 0.05;

}  // namespace

std::uint64_t CostEstimator::FingerprintOf(const Request& request) {
  const std::uint64_t service =
      XXH3_64bits(request.service.data(), request.service.size());
  return XXH3_64bits_withSeed(
      request.statement.data(), request.statement.size(),
      service + static_cast<std::uint64_t>(request.kind));
}

void CostEstimator::Observe(std::uint64_t fingerprint, Duration run_time) {
  all_.Add(run_time);
  Entry& entry = EntryOf(fingerprint, run_time);
  if (entry.provisional) entry.histogram = DecayingHistogram();
  entry.provisional = false;
  entry.histogram.Add(run_time);
}

void CostEstimator::ObserveRunning(std::uint64_t fingerprint,
                                   Duration elapsed) {
  // A rare outlier must not move a known short statement to the long class.
  if (by_fingerprint_.contains(fingerprint)) return;
  Entry& entry = EntryOf(fingerprint, elapsed);
  entry.provisional = true;
  entry.histogram.Add(elapsed);
}

CostEstimate CostEstimator::Estimate(std::uint64_t fingerprint) const {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found == by_fingerprint_.end()) {
    const Duration median = all_.Quantile(0.5);
    return {median, median, false};
  }
  const DecayingHistogram& histogram = found->second->histogram;
  return {histogram.Mean(), histogram.Quantile(kCostQuantile), true};
}

Duration CostEstimator::LongLimit() const {
  if (all_.count() < kLeastObservations) return Duration::max();
  return std::chrono::duration_cast<Duration>(all_.Quantile(0.5) *
                                              long_factor_);
}

bool CostEstimator::IsLong(std::uint64_t fingerprint) const {
  return Estimate(fingerprint).p90 > LongLimit();
}

bool CostEstimator::NewStatementsAreOftenLong() const {
  return long_share_of_new_ > kSuspectRatio;
}

CostEstimator::Entry& CostEstimator::EntryOf(std::uint64_t fingerprint,
                                             Duration run_time) {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found != by_fingerprint_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return *found->second;
  }
  long_share_of_new_ += kNewRatioWeight * ((run_time >= LongLimit() ? 1 : 0) -
                                           long_share_of_new_);
  if (by_fingerprint_.size() >= kMaxFingerprints) {
    by_fingerprint_.erase(recent_.back().fingerprint);
    recent_.pop_back();
  }
  recent_.push_front({fingerprint, DecayingHistogram(), false});
  by_fingerprint_[fingerprint] = recent_.begin();
  return recent_.front();
}

}  // namespace carawayhaven
