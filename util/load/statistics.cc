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
  const bool waits_for_recovery = failed_at_ != TimePoint{} &&
                                  recovered_at_ == TimePoint{} &&
                                  service == failed_service_;
  if (waits_for_recovery && sent_at >= failed_at_) recovered_at_ = now;
}

void Statistics::MarkFailure(const std::string& service, TimePoint now) {
  failed_service_ = service;
  failed_at_ = now;
}

Duration Statistics::FailoverGap() const {
  if (recovered_at_ == TimePoint{}) return Duration(-1);
  return recovered_at_ - failed_at_;
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
