#include "proxy/proxy_metrics.h"

#include <chrono>

namespace carawayhaven {
namespace {

// Four buckets per decade from 100 us to 100 s.
constexpr HistogramScale kSecondsScale{1e-4, 100, 24};

constexpr char kReads[] = "carawayhaven_reads_total";
constexpr char kReadsHelp[] = "Reads that ran, by the role of the endpoint.";
constexpr char kRequests[] = "carawayhaven_requests_total";
constexpr char kRequestsHelp[] = "Requests of callers, by verdict.";
constexpr char kSeconds[] = "carawayhaven_request_seconds";
constexpr char kSecondsHelp[] = "Time from request to outcome at the front.";

}  // namespace

ProxyMetrics::ProxyMetrics(Metrics& metrics)
    : sessions(metrics.GetGauge("carawayhaven_sessions", "Caller sessions.")),
      requests_in_flight(metrics.GetGauge("carawayhaven_requests_in_flight",
                                          "Requests without an outcome.")),
      refused_sessions(
          metrics.GetCounter("carawayhaven_sessions_refused_total",
                             "Sessions refused beyond the limit.")),
      malformed_messages(
          metrics.GetCounter("carawayhaven_messages_malformed_total",
                             "Messages of callers that were refused.")),
      malformed_frames(
          metrics.GetCounter("carawayhaven_peer_frames_malformed_total",
                             "Frames of peers that closed their link.")),
      late_answers(metrics.GetCounter("carawayhaven_late_answers_total",
                                      "Answers without a request.")),
      live_peers(metrics.GetGauge("carawayhaven_live_peers",
                                  "Other proxies considered alive.")),
      promotions(metrics.GetCounter("carawayhaven_promotions_total",
                                    "Promotions that this proxy completed.")),
      config_updates(
          metrics.GetCounter("carawayhaven_config_updates_total",
                             "Versions of teams that were applied.")),
      dropped_spans(metrics.GetCounter("carawayhaven_spans_dropped_total",
                                       "Spans that could not be written.")),
      loop_delay(metrics.GetHistogram("carawayhaven_loop_delay_seconds",
                                      "Delay of timers of the event loop.",
                                      kSecondsScale)),
      replica_reads_(
          metrics.GetCounter(kReads, kReadsHelp, {{"role", "replica"}})),
      primary_reads_(
          metrics.GetCounter(kReads, kReadsHelp, {{"role", "primary"}})),
      ran_(metrics.GetCounter(kRequests, kRequestsHelp, {{"verdict", "ran"}})),
      not_run_(metrics.GetCounter(kRequests, kRequestsHelp,
                                  {{"verdict", "not_run"}})),
      may_have_run_(metrics.GetCounter(kRequests, kRequestsHelp,
                                       {{"verdict", "may_have_run"}})),
      read_seconds_(metrics.GetHistogram(kSeconds, kSecondsHelp, kSecondsScale,
                                         {{"access", "read"}})),
      write_seconds_(metrics.GetHistogram(kSeconds, kSecondsHelp, kSecondsScale,
                                          {{"access", "write"}})) {}

void ProxyMetrics::CountOutcome(AccessMode access, const Outcome& outcome,
                                Duration elapsed) {
  switch (outcome.verdict) {
    case Verdict::kRan:
      ran_.Increment();
      break;
    case Verdict::kNotRun:
      not_run_.Increment();
      break;
    case Verdict::kMayHaveRun:
      may_have_run_.Increment();
      break;
  }
  const bool read = access == AccessMode::kRead;
  if (read && outcome.verdict == Verdict::kRan) {
    (outcome.from_replica ? replica_reads_ : primary_reads_).Increment();
  }
  (read ? read_seconds_ : write_seconds_)
      .Observe(std::chrono::duration<double>(elapsed).count());
}

}  // namespace carawayhaven
