#ifndef CARAWAYHAVEN_CORE_FAILOVER_ENDPOINT_PROBE_H_
#define CARAWAYHAVEN_CORE_FAILOVER_ENDPOINT_PROBE_H_

#include <deque>
#include <optional>

#include "core/session/answer_observer.h"
#include "core/session/endpoint_record.h"
#include "core/session/session_link.h"

namespace carawayhaven {

/// A value that an endpoint reported, and the time at which the query for it
/// was sent: the value was true then or later.
template <typename Value>
struct Observation {
  Value value;
  TimePoint as_of;
};

/// Queries the replication status of one endpoint over a connection of its own.
/// When a query gets no answer in time, the connection is closed and the next
/// query opens a new one. All statuses look alike, so each query is followed by
/// a statement with another kind of answer: a late second answer to an earlier
/// query puts the answers out of order. Not thread-safe.
class EndpointProbe : public SessionLinkEvents {
 public:
  // Two round trips between regions and a short queue at the endpoint.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

  /// After a faulty answer each query uses a new connection for this time.
  static constexpr Duration kFaultMemory = std::chrono::seconds(60);

  /// `link` and `observer` must outlive the probe.
  EndpointProbe(SessionLink& link, EndpointRecord record,
                AnswerObserver& observer);
  ~EndpointProbe() override;
  EndpointProbe(const EndpointProbe&) = delete;
  EndpointProbe& operator=(const EndpointProbe&) = delete;

  /// Queries the status, unless a query is pending. Opens a connection when
  /// there is none. The answer is waited for during kAnswerTimeout, twice as
  /// long after each query without an answer, but not for longer than
  /// `longest_wait`: an endpoint may queue the query behind statements.
  void Query(TimePoint now, Duration longest_wait = kAnswerTimeout);
  /// Orders a primary of a lower term than `term` to step down.
  void StepDown(Term term, TimePoint now);
  /// Withdraws the order unless it was sent.
  void WithdrawStepDown() {
    if (!step_down_sent_) step_down_.reset();
  }

  /// The last status received, however old, or null.
  const ReplicationStatus* LastStatus() const {
    return status_ ? &status_->value : nullptr;
  }
  /// The last status received, or null if its query was sent before `since`.
  /// Answers without a status, such as refusals, do not renew it.
  const ReplicationStatus* StatusSince(TimePoint since) const {
    return status_ && status_->as_of >= since ? &status_->value : nullptr;
  }
  /// When the query was sent that the last status belongs to. There must be a
  /// status.
  TimePoint status_as_of() const { return status_->as_of; }
  /// When the endpoint last showed that it is running, by opening a connection,
  /// by an answer, or by refusing a connection as one too many.
  TimePoint last_alive_at() const { return last_alive_at_; }
  /// The last connection was refused or closed, other than as one too many, and
  /// none has opened since.
  bool failing() const { return failing_; }
  /// The last log position received in a reply to a query or to the opening of
  /// a connection: the log has reached it. Replies without a position do not
  /// renew it.
  const std::optional<Observation<LogPosition>>& position() const {
    return position_;
  }
  /// The endpoint has obeyed the last step-down order.
  bool stepped_down() const { return stepped_down_; }
  const EndpointRecord& record() const { return record_; }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return answer_deadline_; }

  void OnSessionOpened(ConnectionId connection, const StatementReply& reply,
                       TimePoint now) override;
  void OnSessionClosed(ConnectionId connection, ReplyCode code,
                       TimePoint now) override;
  void OnSessionFault(ConnectionId connection, AnswerFault fault,
                      TimePoint now) override;
  void OnReply(ConnectionId connection, const StatementReply& reply,
               TimePoint now) override;

 private:
  void Send(TimePoint now);
  /// Handles a whole answer to the query.
  void Accept(const StatementReply& reply, TimePoint now);
  void RejectAnswer(AnswerFault fault, TimePoint now);

  SessionLink& link_;
  EndpointRecord record_;
  AnswerObserver& observer_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  /// Statements on the connection without a reply: the query and the statement
  /// after it.
  std::deque<EndpointStatement> awaited_;
  /// The reply to the query, while the second reply is awaited.
  std::optional<StatementReply> query_reply_;
  TimePoint faulty_until_ = TimePoint::min();
  bool query_pending_ = false;
  /// Term of a step-down order that is to be sent or was sent.
  std::optional<Term> step_down_;
  bool step_down_sent_ = false;
  bool stepped_down_ = false;
  std::optional<Observation<ReplicationStatus>> status_;
  std::optional<Observation<LogPosition>> position_;
  TimePoint open_sent_at_;
  TimePoint query_sent_at_;
  TimePoint last_alive_at_;
  bool failing_ = false;
  TimePoint answer_deadline_ = TimePoint::max();
  /// Queries since the last answer that were given up.
  unsigned unanswered_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_ENDPOINT_PROBE_H_
