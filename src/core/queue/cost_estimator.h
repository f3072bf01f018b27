#ifndef CARAWAYHAVEN_CORE_QUEUE_COST_ESTIMATOR_H_
#define CARAWAYHAVEN_CORE_QUEUE_COST_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "carawayhaven/time.h"
#include "core/queue/decaying_histogram.h"

namespace carawayhaven {

struct Request;

/// Expected run time of a statement.
struct CostEstimate {
  Duration mean{0};
  Duration p90{0};
  /// False when no run of the fingerprint was observed; the estimate is then
  /// the median run time of all statements of the endpoint.
  bool known = false;
};

/// Estimates the run times of statements by their fingerprint. Keeps the most
/// recently observed fingerprints only. Not thread-safe.
class CostEstimator {
 public:
  // A histogram takes about 300 bytes, so 1,024 of them stay below 0.5 MB for
  // each endpoint.
  static constexpr std::size_t kMaxFingerprints = 1024;

  /// Statements whose run time exceeds `long_factor` times the endpoint's
  /// median are long.
  explicit CostEstimator(double long_factor) : long_factor_(long_factor) {}

  /// Returns a hash of the service, the kind and the statement text.
  static std::uint64_t FingerprintOf(const Request& request);

  /// Records the run time of a statement that has ended.
  void Observe(std::uint64_t fingerprint, Duration run_time);

  /// Records that a statement with an unknown fingerprint is still running
  /// after `elapsed`. The value is replaced when the first run ends.
  void ObserveRunning(std::uint64_t fingerprint, Duration elapsed);

  CostEstimate Estimate(std::uint64_t fingerprint) const;

  /// Returns the run time above which a statement is long; Duration::max()
  /// while too few statements have been observed.
  Duration LongLimit() const;

  bool IsLong(std::uint64_t fingerprint) const;

  /// Returns true while a large share of the statements that were observed for
  /// the first time turned out to be long. Also true until about 60 new
  /// statements have been observed.
  bool NewStatementsAreOftenLong() const;

  std::size_t size() const { return by_fingerprint_.size(); }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    DecayingHistogram histogram;
    /// The histogram holds the elapsed time of a run that has not ended yet.
    bool provisional = false;
  };

  Entry& FindOrCreateEntry(std::uint64_t fingerprint, Duration run_time);

  double long_factor_;
  /// Moving average of the share of long statements among those observed for
  /// the first time.
  double long_share_of_new_ = 1;
  DecayingHistogram all_run_times_;
  std::list<Entry> lru_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_fingerprint_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_COST_ESTIMATOR_H_
