#include "load/statistics.h"

#include <algorithm>

namespace carawayhaven::load {

void Statistics::CountAnswer(const std::string& verdict,
                             const std::string& reason) {
  ++answers_;
  ++verdicts_[verdict];
  if (reason != "none") ++reasons_[reason];
}

void Statistics::CountRead(bool accepts_age, bool from_replica) {
  if (!accepts_age) return;
  ++aged_reads_;
  if (from_replica) ++replica_reads_;
}

void Statistics::AddAcknowledgement(const std::string& service,
                                    TimePoint sent_at, TimePoint now) {
  for (Failure& failure : failures_) {
    const bool waits_for_recovery =
        failure.recovered_at == TimePoint{} && service == failure.service;
    if (waits_for_recovery && sent_at >= failure.failed_at) {
      failure.recovered_at = now;
    }
  }
}

void Statistics::MarkFailure(const std::string& service, TimePoint now) {
  failures_.push_back({service, now, TimePoint{}});
}

Duration Statistics::FailoverGap() const {
  Duration longest = Duration::zero();
  for (const Failure& failure : failures_) {
    if (failure.recovered_at == TimePoint{}) return Duration(-1);
    longest = std::max(longest, failure.recovered_at - failure.failed_at);
  }
  return longest;
}

Duration Statistics::ShortLatency(double quantile) const {
  if (short_latency_.empty()) return Duration::zero();
  std::vector<Duration> sorted = short_latency_;
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(quantile * last)];
}

double Statistics::ReplicaShare() const {
  return aged_reads_ == 0 ? 0.0
                          : static_cast<double>(replica_reads_) /
                                static_cast<double>(aged_reads_);
}

}  // namespace carawayhaven::load
