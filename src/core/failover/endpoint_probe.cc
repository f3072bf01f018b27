#include "core/failover/endpoint_probe.h"

#include <utility>

namespace carawayhaven {

EndpointProbe::EndpointProbe(SessionLink& link, EndpointRecord record)
    : link_(link), record_(std::move(record)) {}

EndpointProbe::~EndpointProbe() {
  if (connection_ != 0) link_.Close(connection_);
}

void EndpointProbe::Query(TimePoint now) {
  if (asking_) return;
  asking_ = true;
  open_until_ = now + kAnswerTimeout;
  if (connection_ == 0) {
    open_ = false;
    connection_ =
        link_.Open(record_.address, record_.service, record_.name, *this);
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
  sent_ = now;
  link_.Send(connection_, statement);
}

void EndpointProbe::Tick(TimePoint now) {
  if (now < open_until_) return;
  open_until_ = TimePoint::max();
  asking_ = false;
  if (!stepped_down_) step_down_sent_ = false;
  if (connection_ != 0) link_.Close(std::exchange(connection_, 0));
}

void EndpointProbe::OnSessionOpened(ConnectionId connection,
                                    const StatementReply& /*reply*/,
                                    TimePoint now) {
  if (connection != connection_) return;
  open_ = true;
  failing_ = false;
  alive_at_ = now;
  if (asking_) Send(now);
}

void EndpointProbe::OnSessionClosed(ConnectionId connection, ReplyCode code,
                                    TimePoint now) {
  if (connection != connection_) return;
  failing_ = code != ReplyCode::kTooManyConnections;
  if (!failing_) alive_at_ = now;
  connection_ = 0;
  open_ = false;
  asking_ = false;
  open_until_ = TimePoint::max();
  if (!stepped_down_) step_down_sent_ = false;
}

void EndpointProbe::OnReply(ConnectionId connection,
                            const StatementReply& reply, TimePoint now) {
  if (connection != connection_) return;
  asking_ = false;
  open_until_ = TimePoint::max();
  answered_at_ = now;
  alive_at_ = now;
  asked_at_ = sent_;
  if (reply.position) position_ = reply.position;
  if (reply.code != ReplyCode::kOk || !reply.replication) {
    if (!stepped_down_) step_down_sent_ = false;
    return;
  }
  status_ = reply.replication;
  if (step_down_ && step_down_sent_) stepped_down_ = true;
}

}  // namespace carawayhaven
