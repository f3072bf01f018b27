#ifndef CARAWAYHAVEN_CORE_SESSION_ENDPOINT_STATE_H_
#define CARAWAYHAVEN_CORE_SESSION_ENDPOINT_STATE_H_

#include <set>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/session/endpoint_record.h"

namespace carawayhaven {

/// What a VM knows of an endpoint and of its own connections to it.
class EndpointState {
 public:
  explicit EndpointState(EndpointRecord endpoint_record)
      : record(std::move(endpoint_record)) {}

  EndpointRecord record;
  /// When the record said that the endpoint leaves; max() while it stays.
  TimePoint leaving_since = TimePoint::max();
  /// When the registry lost its record; max() while it has one.
  TimePoint missing_since = TimePoint::max();

  std::set<ConnectionId> connections;
  std::set<ConnectionId> idle;
  unsigned opening = 0;
  unsigned running = 0;
  /// No connection is opened before.
  TimePoint next_open;
  unsigned failed_opens = 0;

  TimePoint last_answer;
  /// Since when the endpoint has not answered what was asked of it; max() when
  /// it has answered, or nothing was asked.
  TimePoint failing_since = TimePoint::max();
  LogPosition position;
  /// It refused reads that need `behind_position`; not asked for it again
  /// before.
  TimePoint behind_until;
  LogPosition behind_position;
  unsigned behind_count = 0;

  /// Notes that the log has not reached the position.
  void RecordBehind(LogPosition required, TimePoint now);
  /// True when the log has probably not reached the position yet.
  bool IsProbablyBehind(LogPosition required, TimePoint now) const;

  /// Notes the time of one statement on the endpoint.
  void RecordResponseTime(Duration response, TimePoint now);

  /// Expected time of one statement; without recent statements it returns to
  /// `baseline`.
  Duration ExpectedResponseTime(Duration baseline, TimePoint now) const;

  /// Notes whether the endpoint refused a statement for want of a slot.
  void RecordRefusal(bool refused);

  /// Factor by which the endpoint counts as slower for its refusals, which
  /// come fast and would attract more work.
  double RefusalPenalty() const { return 1.0 + kRefusalWeight * refusals_; }

  /// True when new work may be sent there.
  bool AcceptsWork(TimePoint now) const;

  void RecordAnswer(TimePoint now) {
    last_answer = now;
    failing_since = TimePoint::max();
  }
  void RecordFailure(TimePoint now) {
    if (failing_since == TimePoint::max()) failing_since = now;
  }

 private:
  // An endpoint that refuses half of its work counts as five times as slow,
  // about a retry and its pause.
  static constexpr double kRefusalWeight = 8.0;

  /// Share of the last statements that were refused.
  double refusals_ = 0;
  Duration response_time_{0};
  TimePoint response_at_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ENDPOINT_STATE_H_
