#ifndef CARAWAYHAVEN_CORE_FAILOVER_ENDPOINT_PROBE_H_
#define CARAWAYHAVEN_CORE_FAILOVER_ENDPOINT_PROBE_H_

#include <optional>

#include "core/session/endpoint_record.h"
#include "core/session/session_link.h"

namespace carawayhaven {

/// Asks one endpoint for its replication status, over a connection of its own.
/// A question without an answer is repeated on a fresh connection. Not
/// thread-safe.
class EndpointProbe : public SessionLinkEvents {
 public:
  // Two round trips between regions and a short queue at the endpoint.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

  EndpointProbe(SessionLink& link, EndpointRecord record);
  ~EndpointProbe() override;
  EndpointProbe(const EndpointProbe&) = delete;
  EndpointProbe& operator=(const EndpointProbe&) = delete;

  /// Asks unless a question is open. Opens a connection when there is none.
  void Query(TimePoint now);
  /// Orders a primary of a lower term than `term` to step down.
  void StepDown(Term term, TimePoint now);

  /// The last answer, and when it came and its question was sent.
  const std::optional<ReplicationStatus>& status() const { return status_; }
  TimePoint answered_at() const { return answered_at_; }
  /// When the endpoint last did anything that a dead one does not; that
  /// includes the refusal of one connection too many.
  TimePoint last_alive_at() const { return alive_at_; }
  /// The last connection was refused or ended, and none was opened since.
  bool failing() const { return failing_; }
  TimePoint queried_at() const { return asked_at_; }
  std::optional<LogPosition> position() const { return position_; }
  /// The status is the answer to a step-down.
  bool stepped_down() const { return stepped_down_; }
  const EndpointRecord& record() const { return record_; }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return open_until_; }

  void OnSessionOpened(ConnectionId connection, const StatementReply& reply,
                       TimePoint now) override;
  void OnSessionClosed(ConnectionId connection, ReplyCode code,
                       TimePoint now) override;
  void OnReply(ConnectionId connection, const StatementReply& reply,
               TimePoint now) override;

 private:
  void Send(TimePoint now);

  SessionLink& link_;
  EndpointRecord record_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  bool asking_ = false;
  /// A step-down to send, or that was sent.
  std::optional<Term> step_down_;
  bool step_down_sent_ = false;
  bool stepped_down_ = false;
  std::optional<ReplicationStatus> status_;
  std::optional<LogPosition> position_;
  TimePoint sent_;
  TimePoint answered_at_;
  TimePoint alive_at_;
  bool failing_ = false;
  TimePoint asked_at_;
  TimePoint open_until_ = TimePoint::max();
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_ENDPOINT_PROBE_H_
