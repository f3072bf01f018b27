#ifndef CARAWAYHAVEN_UTIL_LOAD_STATISTICS_H_
#define CARAWAYHAVEN_UTIL_LOAD_STATISTICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawayhaven/time.h"

namespace carawayhaven::load {

/// Counters and latencies of a run. Not thread-safe.
class Statistics {
 public:
  void CountAnswer(const std::string& verdict, const std::string& reason);
  void CountRead(bool accepts_staleness, bool from_replica);
  void CountStaleRead() { ++stale_reads_; }
  void AddShortLatency(Duration latency) { short_latency_.push_back(latency); }

  /// Records that a write to `service`, sent at `sent_at`, was acknowledged at
  /// `now`.
  void AddAcknowledgement(const std::string& service, TimePoint sent_at,
                          TimePoint now);
  /// Starts the measurement of a failover gap. May be called several times.
  void MarkFailure(const std::string& service, TimePoint now);

  /// Returns the longest failover gap: the time from a failure to the first
  /// acknowledgement of a write that was sent after the failure. Negative when
  /// no such write was acknowledged for some failure; zero without failures.
  Duration FailoverGap() const;
  Duration ShortLatency(double quantile) const;

  const std::map<std::string, std::uint64_t>& verdicts() const {
    return verdicts_;
  }
  const std::map<std::string, std::uint64_t>& reasons() const {
    return reasons_;
  }
  std::uint64_t stale_reads() const { return stale_reads_; }
  /// Share of the bounded-staleness reads that were served by a replica.
  double ReplicaShare() const;
  std::uint64_t answers() const { return answers_; }

 private:
  struct Failure {
    std::string service;
    TimePoint failed_at;
    /// TimePoint{} until the service has recovered.
    TimePoint recovered_at;
  };

  std::map<std::string, std::uint64_t> verdicts_;
  std::map<std::string, std::uint64_t> reasons_;
  std::uint64_t answers_ = 0;
  std::uint64_t bounded_reads_ = 0;
  std::uint64_t replica_reads_ = 0;
  std::uint64_t stale_reads_ = 0;
  std::vector<Duration> short_latency_;
  std::vector<Failure> failures_;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_STATISTICS_H_
