#include "load/statistics.h"

#include <algorithm>

namespace carawayhaven::load {

void Statistics::CountAnswer(const std::string& verdict,
                             const std::string& reason) {
  ++answers_;
  ++verdicts_[verdict];
  if (reason != "none") ++reasons_[reason];
}

void Statistics::CountRead(bool accepts_staleness, bool from_replica) {
  if (!accepts_staleness) return;
  ++bounded_reads_;
  if (from_replica) ++replica_reads_;
}

void Statistics::AddAcknowledgement(const std::string& service,
                                    TimePoint sent_at, TimePoint now) {
  for (Failure& failure : failures_) {
    const bool is_unrecovered =
        failure.recovered_at == TimePoint{} && service == failure.service;
    if (is_unrecovered && sent_at >= failure.failed_at) {
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
  return bounded_reads_ == 0 ? 0.0
                             : static_cast<double>(replica_reads_) /
                                   static_cast<double>(bounded_reads_);
}

}  // namespace carawayhaven::load
