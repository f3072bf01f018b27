#include "core/failover/endpoint_probe.h"

#include <algorithm>
#include <utility>

#include "core/session/answer_check.h"

namespace carawayhaven {
namespace {

constexpr unsigned kMaxWaitDoublings = 5;

}  // namespace

EndpointProbe::EndpointProbe(SessionLink& link, EndpointRecord record,
                             AnswerObserver& observer)
    : link_(link), record_(std::move(record)), observer_(observer) {}

EndpointProbe::~EndpointProbe() {
  if (connection_ != 0) link_.Close(connection_);
}

void EndpointProbe::Query(TimePoint now, Duration longest_wait) {
  if (query_pending_) return;
  query_pending_ = true;
  const Duration wait =
      kAnswerTimeout * (1 << std::min(unanswered_, kMaxWaitDoublings));
  answer_deadline_ = now + std::min(wait, longest_wait);
  if (connection_ == 0) {
    open_ = false;
    open_sent_at_ = now;
    connection_ =
        link_.Open(record_.address, record_.service, "", record_.name, *this);
  } else if (open_) {
    Send(now);
  }
}

void EndpointProbe::StepDown(Term term, TimePoint now) {
  if (step_down_ == term) return;
  step_down_ = term;
  step_down_sent_ = false;
  stepped_down_ = false;
  Query(now);
}

void EndpointProbe::Send(TimePoint now) {
  EndpointStatement statement;
  statement.kind = EndpointStatementKind::kStatus;
  if (step_down_ && !step_down_sent_) {
    statement.kind = EndpointStatementKind::kStepDown;
    statement.term = *step_down_;
    step_down_sent_ = true;
  }
  EndpointStatement separator;
  separator.kind = EndpointStatementKind::kReset;
  query_sent_at_ = now;
  awaited_.clear();
  for (const EndpointStatement& sent : {statement, separator}) {
    if (link_.Send(connection_, sent)) awaited_.push_back(sent);
  }
}

void EndpointProbe::Tick(TimePoint now) {
  if (now < answer_deadline_) return;
  answer_deadline_ = TimePoint::max();
  query_pending_ = false;
  ++unanswered_;
  if (!stepped_down_) step_down_sent_ = false;
  if (connection_ != 0) link_.Close(std::exchange(connection_, 0));
  awaited_.clear();
  query_reply_.reset();
}

void EndpointProbe::OnSessionOpened(ConnectionId connection,
                                    const StatementReply& reply,
                                    TimePoint now) {
  if (connection != connection_) return;
  if (reply.position) position_ = {*reply.position, open_sent_at_};
  open_ = true;
  failing_ = false;
  last_alive_at_ = now;
  if (query_pending_) Send(now);
}

void EndpointProbe::OnSessionClosed(ConnectionId connection, ReplyCode code,
                                    TimePoint now) {
  if (connection != connection_) return;
  failing_ = code != ReplyCode::kTooManyConnections;
  if (!failing_) last_alive_at_ = now;
  connection_ = 0;
  open_ = false;
  awaited_.clear();
  query_reply_.reset();
  query_pending_ = false;
  answer_deadline_ = TimePoint::max();
  if (!stepped_down_) step_down_sent_ = false;
}

void EndpointProbe::OnSessionFault(ConnectionId connection, AnswerFault fault,
                                   TimePoint now) {
  if (connection == connection_) RejectAnswer(fault, now);
}

void EndpointProbe::RejectAnswer(AnswerFault fault, TimePoint now) {
  FaultyAnswer answer;
  answer.endpoint = record_.name;
  answer.connection = connection_;
  answer.fault = fault;
  answer.phase = open_ ? ConnectionPhase::kProbe : ConnectionPhase::kOpening;
  if (!awaited_.empty()) answer.since_sent = now - query_sent_at_;
  observer_.OnFaultyAnswer(answer);
  faulty_until_ = now + kFaultMemory;
  // The latest accepted answer may have been the second one to an earlier
  // query.
  if (awaited_.empty()) {
    status_.reset();
    position_.reset();
  }
  link_.Close(connection_);
  const bool was_failing = failing_;
  OnSessionClosed(connection_, ReplyCode::kOther, now);
  failing_ = was_failing;
}

void EndpointProbe::OnReply(ConnectionId connection,
                            const StatementReply& reply, TimePoint now) {
  if (connection != connection_) return;
  const AnswerFault fault =
      awaited_.empty()
          ? AnswerFault::kUnrequested
          : CheckAnswer(awaited_.front(), TransactionState::kIdle, reply);
  if (fault != AnswerFault::kNone) {
    RejectAnswer(fault, now);
    return;
  }
  awaited_.pop_front();
  if (!awaited_.empty()) {
    query_reply_ = reply;
    return;
  }
  if (query_reply_) Accept(*std::exchange(query_reply_, std::nullopt), now);
  if (now < faulty_until_) {
    link_.Close(std::exchange(connection_, 0));
    open_ = false;
  }
}

void EndpointProbe::Accept(const StatementReply& reply, TimePoint now) {
  query_pending_ = false;
  answer_deadline_ = TimePoint::max();
  unanswered_ = 0;
  last_alive_at_ = now;
  if (reply.position) position_ = {*reply.position, query_sent_at_};
  if (reply.code != ReplyCode::kOk || !reply.replication) {
    if (!stepped_down_) step_down_sent_ = false;
    return;
  }
  status_ = {*reply.replication, query_sent_at_};
  if (step_down_ && step_down_sent_) {
    stepped_down_ = !reply.replication->is_primary;
  }
}

}  // namespace carawayhaven
