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
  /// False when the fingerprint was never observed; the estimate is then that
  /// of the endpoint's median statement.
  bool known = false;
};

/// Learns the run times of statements by fingerprint. Keeps the most recently
/// used fingerprints only. Not thread-safe.
class CostEstimator {
 public:
  // A histogram takes about 300 bytes, so that 1,024 of them stay below
  // 0.5 MB an endpoint.
  static constexpr std::size_t kMaxFingerprints = 1024;

  /// Statements above `long_factor` times the endpoint's median are long.
  explicit CostEstimator(double long_factor) : long_factor_(long_factor) {}

  /// Returns the hash of service, kind and statement text.
  static std::uint64_t FingerprintOf(const Request& request);

  /// Records the run time of a statement that has ended.
  void Observe(std::uint64_t fingerprint, Duration run_time);

  /// Records that a statement of an unknown fingerprint still runs after that
  /// time; holds until the first one ends.
  void ObserveRunning(std::uint64_t fingerprint, Duration elapsed);

  CostEstimate Estimate(std::uint64_t fingerprint) const;

  /// Run time above which a statement is long; Duration::max() while too few
  /// statements were observed.
  Duration LongLimit() const;

  bool IsLong(std::uint64_t fingerprint) const;

  /// True while statements often turn out to be long when they are seen for
  /// the first time, and the long limit is known.
  bool NewStatementsAreOftenLong() const;

  std::size_t size() const { return by_fingerprint_.size(); }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    DecayingHistogram histogram;
    /// Holds the time of a statement that has not ended yet.
    bool provisional = false;
  };

  Entry& EntryOf(std::uint64_t fingerprint, Duration run_time);

  double long_factor_;
  /// Share of long statements among those seen for the first time.
  double long_share_of_new_ = 1;
  DecayingHistogram all_;
  std::list<Entry> recent_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_fingerprint_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_COST_ESTIMATOR_H_
