#ifndef CARAWAYHAVEN_PROXY_PROXY_METRICS_H_
#define CARAWAYHAVEN_PROXY_PROXY_METRICS_H_

#include <string_view>

#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "proxy/metrics.h"

namespace carawayhaven {

/// The metrics of a proxy whose labels do not come from input. They are looked
/// up once, on construction; docs/operations/metrics.md describes each. Not
/// thread-safe.
class ProxyMetrics {
 public:
  /// `metrics` must outlive the object.
  explicit ProxyMetrics(Metrics& metrics);

  /// Counts the outcome of a caller's request that took `elapsed`.
  void CountOutcome(AccessMode access, const Outcome& outcome,
                    Duration elapsed);

  Gauge& sessions;
  Gauge& requests_in_flight;
  Counter& refused_sessions;
  Counter& malformed_messages;
  Counter& malformed_frames;
  Counter& late_answers;
  Gauge& live_peers;
  Counter& promotions;
  Counter& config_updates;
  Counter& dropped_spans;
  Histogram& loop_delay;

 private:
  Counter& replica_reads_;
  Counter& primary_reads_;
  Counter& ran_;
  Counter& not_run_;
  Counter& may_have_run_;
  Histogram& read_seconds_;
  Histogram& write_seconds_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PROXY_METRICS_H_
