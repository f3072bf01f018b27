#ifndef CARAWAYHAVEN_CORE_SESSION_ENDPOINT_STATE_H_
#define CARAWAYHAVEN_CORE_SESSION_ENDPOINT_STATE_H_

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/limits/concurrency_limit.h"
#include "core/session/endpoint_record.h"
#include "core/session/organisation_pool.h"

namespace carawayhaven {

/// State that a VM keeps of an endpoint and of its connections to that
/// endpoint. Not thread-safe.
class EndpointState {
 public:
  explicit EndpointState(EndpointRecord endpoint_record)
      : record(std::move(endpoint_record)), registry_era(record.registry_era) {}

  EndpointRecord record;
  /// Highest era of a record of the endpoint, also of one that was ignored.
  std::uint64_t registry_era = 0;
  /// When the record first marked the endpoint as leaving; max() otherwise.
  TimePoint leaving_since = TimePoint::max();
  /// When the record disappeared from the registry; max() while it exists, and
  /// while the registry is unavailable unless the endpoint was gone by then.
  TimePoint missing_since = TimePoint::max();

  OrganisationPool pool;
  unsigned running = 0;
  /// No connection is opened before this time.
  TimePoint next_open;
  unsigned failed_opens = 0;

  TimePoint last_answer;
  /// Time of the first failure since the endpoint's last reply; max() if there
  /// was none.
  TimePoint failing_since = TimePoint::max();
  /// Time of the last failure. Without further attempts, it says nothing about
  /// the present.
  TimePoint last_failure = TimePoint::min();
  /// Until when the endpoint counts as one that answers twice or not whole.
  TimePoint faulty_until = TimePoint::min();
  LogPosition position;
  /// The endpoint refused reads that require `behind_position`; such reads are
  /// not sent to it again before this time.
  TimePoint behind_until;
  LogPosition behind_position;
  unsigned behind_count = 0;
  /// Used only with pacing.
  ConcurrencyLimit limit;

  /// True if the record is probably of the copy from which the registry was
  /// restored, and older than the known one. Only the first record of an era
  /// can be: later ones were written after the restore.
  bool IsOutdated(const EndpointRecord& restored) const;

  /// Records that the endpoint's log has not reached the position.
  void RecordBehind(LogPosition required, TimePoint now);
  /// True if the endpoint's log has probably not reached the position yet.
  bool IsProbablyBehind(LogPosition required, TimePoint now) const;

  /// Records the response time of one statement on the endpoint.
  void RecordResponseTime(Duration response, TimePoint now);

  /// Expected response time of one statement; approaches `baseline` when there
  /// are no recent statements.
  Duration ExpectedResponseTime(Duration baseline, TimePoint now) const;

  /// Records whether the endpoint refused a statement because no slot was free.
  void RecordRefusal(bool refused);

  /// Factor by which the expected response time is raised for refused
  /// statements: refusals are fast and would otherwise attract more work.
  double RefusalPenalty() const {
    return 1.0 + kRefusalWeight * refused_share_;
  }

  /// When new work may no longer be sent to the endpoint; max() if its record
  /// sets no end.
  TimePoint WorkEnd() const;
  /// True if the record has been missing for so long that it will not reappear.
  bool IsGone(TimePoint now) const;

  /// True if new work may be sent to the endpoint.
  bool AcceptsWork(TimePoint now) const { return now < WorkEnd(); }

  void RecordAnswer(TimePoint now) {
    last_answer = now;
    failing_since = TimePoint::max();
  }
  void RecordFailure(TimePoint now) {
    if (failing_since == TimePoint::max()) failing_since = now;
    last_failure = now;
  }

 private:
  // An endpoint that refuses half of its statements is rated five times slower,
  // which is about the cost of a retry and its delay.
  static constexpr double kRefusalWeight = 8.0;

  /// Moving average of the share of statements that were refused.
  double refused_share_ = 0;
  Duration response_time_{0};
  TimePoint response_at_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ENDPOINT_STATE_H_
