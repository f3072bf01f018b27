#include <algorithm>
#include <utility>

#include "core/session/router_limits.h"
#include "core/session/session_router.h"

// Handling of events and replies from endpoints.
namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Back-off before a connection is opened again after a failure; the pause
// doubles from the first value to the second.
constexpr Duration kInitialOpenPause = milliseconds(50);
constexpr Duration kMaxOpenPause = milliseconds(1000);
// Pause after the endpoint's connection limit was reached. It is short because
// endpoints keep the connections of a VM that lost power for some seconds, and
// the connections freed then should be used promptly.
constexpr Duration kTooManyConnectionsPause = milliseconds(150);
// Number of times that doubtful rows must arrive to be the true ones. The same
// part of an answer may be lost twice.
constexpr unsigned kReadsToConfirm = 3;
// If the primary lease expired before the reply to a successful write, the
// reply is delayed for at most this time until the lease is renewed; after that
// the outcome of the write is reported as unknown.
constexpr Duration kLeaseConfirmTimeout = milliseconds(3000);

bool IsAboutRows(AnswerFault fault) {
  return fault == AnswerFault::kJoinedRows ||
         fault == AnswerFault::kRepeatedRow;
}

}  // namespace

void SessionRouter::OnSessionOpened(ConnectionId id,
                                    const StatementReply& reply,
                                    TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  connection.open = true;
  connection.give_up_at = TimePoint::max();
  if (std::exchange(endpoint.failed_opens, 0U) > 0) {
    observer_.OnEndpointReachable(connection.endpoint, true, ReplyCode::kOk);
  }
  endpoint.RecordAnswer(now);
  if (reply.position) endpoint.position = *reply.position;
  connection.answers.RecordPosition(reply);
  endpoint.pool.SetIdle(id, now);
  const ServiceName service = connection.service;
  TrimConnections(endpoint, now);
  Dispatch(service, now);
}

void SessionRouter::OnSessionClosed(ConnectionId id, ReplyCode code,
                                    TimePoint now) {
  if (connections_.contains(id)) EndConnection(id, code, true, now);
}

void SessionRouter::EndConnection(ConnectionId id, ReplyCode code, bool failed,
                                  TimePoint now) {
  const auto found = connections_.find(id);
  const bool was_open = found->second.open;
  const bool at_last_step =
      found->second.step + 1 == found->second.steps.size();
  const TimePoint sent_at = found->second.sent_at;
  const EndpointName name = found->second.endpoint;
  const std::shared_ptr<JobOwner> transaction_owner =
      found->second.transaction_owner;
  EndpointState& endpoint = endpoints_.at(name);
  const ServiceName service = found->second.service;
  const JobPtr job = DetachJob(id, false, now);
  if (!was_open) {
    if (endpoint.failed_opens++ == 0) {
      observer_.OnEndpointReachable(name, false, code);
    }
    const unsigned doublings = std::min(endpoint.failed_opens - 1, 5U);
    // A refusal because of the connection limit proves that the endpoint is
    // alive.
    if (code == ReplyCode::kTooManyConnections) {
      endpoint.next_open = now + kTooManyConnectionsPause;
      endpoint.RecordAnswer(now);
    } else {
      endpoint.next_open =
          now + std::min(kInitialOpenPause * (1 << doublings), kMaxOpenPause);
      endpoint.RecordFailure(now);
      UpdateLimit(endpoint,
                  [&](ConcurrencyLimit& limit) { limit.OnFailure(now, now); });
    }
    ScheduleTick(endpoint.next_open);
  } else if (job != nullptr && failed) {
    endpoint.RecordFailure(now);
    UpdateLimit(endpoint, [&](ConcurrencyLimit& limit) {
      limit.OnFailure(sent_at, now);
    });
  }
  if (job != nullptr && !job->done) {
    if (at_last_step) {
      OnNoAnswer(job, name, JobResult::End::kLost, now);
    } else {
      Retry(job, name, ReplyCode::kBusy, now);
    }
  } else if (job == nullptr && transaction_owner != nullptr) {
    transaction_owner->OnTransactionLost(now);
  }
  Dispatch(service, now);
}

void SessionRouter::OnSessionFault(ConnectionId id, AnswerFault fault,
                                   TimePoint now) {
  if (connections_.contains(id)) RejectAnswer(id, fault, now);
}

void SessionRouter::RejectAnswer(ConnectionId id, AnswerFault fault,
                                 TimePoint now) {
  ReportFault(id, fault, now);
  NoteFault(id, now);
  EndConnection(id, ReplyCode::kOther, false, now);
}

void SessionRouter::OnReply(ConnectionId id, const StatementReply& reply,
                            TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  const AnswerFault fault = CheckReply(connection, reply, now);
  if (IsAboutRows(fault) && connection.reads < kReadsToConfirm) {
    ReadAgain(id, fault, reply, now);
    return;
  }
  if (fault != AnswerFault::kNone) {
    RejectAnswer(id, fault, now);
    return;
  }
  if (connection.reads > 1 && connection.doubted_rows != HashRows(reply.rows)) {
    NoteFault(id, now);
    connection.outdated = true;
  }
  connection.reads = 1;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  const ServiceName service = connection.service;
  const EndpointStatement& statement = connection.steps[connection.step];
  connection.answers.Record(statement, reply, now);
  connection.state = reply.state;
  if (reply.code != ReplyCode::kOk) {
    connection.needs_synchronization = true;
  } else if (!IsSigned(statement.kind)) {
    connection.needs_synchronization = false;
  }
  endpoint.RecordAnswer(now);
  RecordPosition(connection, reply);
  if (reply.is_followed) {
    ReportFault(id, AnswerFault::kUnrequested, now);
    NoteFault(id, now);
    connection.outdated = true;
  }
  RecordInLimit(connection, reply, now);
  if (connection.step + 1 < connection.steps.size()) {
    OnSetupReply(id, reply, now);
  } else {
    OnFinalReply(id, reply, now);
  }
  Dispatch(service, now);
}

void SessionRouter::RecordInLimit(const Connection& connection,
                                  const StatementReply& reply, TimePoint now) {
  if (!pacing_ || connection.job == nullptr || connection.refusal) return;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  const bool last = connection.step + 1 == connection.steps.size();
  UpdateLimit(endpoint, [&](ConcurrencyLimit& limit) {
    switch (reply.code) {
      case ReplyCode::kOk:
        if (!last) return;
        limit.OnAnswer(
            services_[connection.service].costs.ClassNumber(*connection.job),
            connection.sent_at, endpoint.running, endpoint.record.slots, now);
        return;
      case ReplyCode::kBusy:
        limit.OnRefusal(connection.sent_at, now);
        return;
      case ReplyCode::kFailed:
      case ReplyCode::kTimeout:
      case ReplyCode::kOther:
        limit.OnFailure(connection.sent_at, now);
        return;
      default:
        // The other codes say nothing about the endpoint's load.
        return;
    }
  });
}

void SessionRouter::UpdateLimit(
    EndpointState& endpoint,
    const std::function<void(ConcurrencyLimit&)>& update) {
  if (!pacing_) return;
  const bool was_collapsed = endpoint.limit.is_collapsed();
  update(endpoint.limit);
  const bool collapsed = endpoint.limit.is_collapsed();
  if (collapsed != was_collapsed) {
    observer_.OnEndpointLimit(endpoint.record.name, collapsed);
  }
}

AnswerFault SessionRouter::CheckReply(Connection& connection,
                                      const StatementReply& reply,
                                      TimePoint now) {
  if (connection.step >= connection.steps.size()) {
    return AnswerFault::kUnrequested;
  }
  Service& service = services_[connection.service];
  const AnswerFault fault = connection.answers.Check(
      connection.steps[connection.step], connection.state, reply,
      service.rows_are_distinct);
  if (!IsAboutRows(fault) || connection.doubted_rows != HashRows(reply.rows) ||
      connection.reads < kReadsToConfirm) {
    return fault;
  }
  if (fault == AnswerFault::kRepeatedRow &&
      now >= endpoints_.at(connection.endpoint).faulty_until) {
    service.rows_are_distinct = false;
  }
  return AnswerFault::kNone;
}

void SessionRouter::NoteFault(ConnectionId id, TimePoint now) {
  endpoints_.at(connections_.at(id).endpoint).faulty_until = now + kFaultMemory;
}

// Repeats the read on its connection: rows that arrive again are the true ones.
void SessionRouter::ReadAgain(ConnectionId id, AnswerFault fault,
                              const StatementReply& reply, TimePoint now) {
  ReportFault(id, fault, now);
  Connection& connection = connections_.at(id);
  const std::uint64_t rows = HashRows(reply.rows);
  connection.reads = connection.doubted_rows == rows ? connection.reads + 1 : 2;
  connection.doubted_rows = rows;
  connection.answers.RecordSignature(reply);
  if (connection.job != nullptr) CountRepeatedSend(*connection.job, now);
  SendStep(id, now);
}

ConnectionPhase SessionRouter::PhaseOf(const Connection& connection) const {
  if (!connection.open) return ConnectionPhase::kOpening;
  if (connection.step >= connection.steps.size()) return ConnectionPhase::kIdle;
  if (connection.job == nullptr) return ConnectionPhase::kRollback;
  if (connection.refusal) return ConnectionPhase::kConfirmation;
  if (connection.job->done) return ConnectionPhase::kAbandoned;
  if (connection.step + 1 < connection.steps.size()) {
    return ConnectionPhase::kSetup;
  }
  return connection.in_transaction ? ConnectionPhase::kTransaction
                                   : ConnectionPhase::kStatement;
}

void SessionRouter::ReportFault(ConnectionId id, AnswerFault fault,
                                TimePoint now) {
  const Connection& connection = connections_.at(id);
  FaultyAnswer answer;
  answer.endpoint = connection.endpoint;
  answer.connection = id;
  answer.fault = fault;
  answer.phase = PhaseOf(connection);
  if (connection.job != nullptr) answer.id = connection.job->statement.id;
  answer.earlier_ids = connection.answers.RecentIds();
  answer.earlier_answers = connection.answers.answers();
  if (answer.earlier_answers > 0) {
    answer.since_answer = now - connection.answers.last_answer();
  }
  if (answer.phase != ConnectionPhase::kIdle &&
      answer.phase != ConnectionPhase::kOpening) {
    answer.since_sent = now - connection.sent_at;
  }
  observer_.OnFaultyAnswer(answer);
}

void SessionRouter::RecordPosition(const Connection& connection,
                                   const StatementReply& reply) {
  if (!reply.position || connection.outdated || reply.is_followed) return;
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  endpoint.position = *reply.position;
  // Only a signature shows that the position is as recent as the statement.
  if (connection.sent_with_lease && !reply.signature.empty()) {
    services_[endpoint.record.service].positions.Add(connection.sent_at,
                                                     *reply.position);
  }
}

// Handles the reply to a statement that sets up the connection. The caller's
// statement is the last step, so nothing of it has run and a failure here can
// be retried on another connection.
void SessionRouter::OnSetupReply(ConnectionId id, const StatementReply& reply,
                                 TimePoint now) {
  Connection& connection = connections_.at(id);
  const EndpointStatement& step = connection.steps[connection.step];
  if (reply.code == ReplyCode::kOk) {
    ApplySetup(step, connection.context);
    if (step.kind == EndpointStatementKind::kBegin ||
        step.kind == EndpointStatementKind::kBeginReadOnly) {
      connection.in_transaction = true;
    }
    if (connection.job->done) {
      const bool open = connection.in_transaction;
      DetachJob(id, true, now);
      if (open) SendRollback(id, now);
      return;
    }
    ++connection.step;
    SendStep(id, now);
    return;
  }
  const EndpointName name = connection.endpoint;
  if (reply.code == ReplyCode::kBusy) endpoints_.at(name).RecordRefusal(true);
  if (reply.code == ReplyCode::kBehind) {
    endpoints_.at(name).RecordBehind(step.min_position.value_or(LogPosition{}),
                                     now);
  }
  const bool was_in_transaction = connection.in_transaction;
  // After an error of another statement, the state of the connection is not
  // known.
  const bool begins = step.kind == EndpointStatementKind::kBegin ||
                      step.kind == EndpointStatementKind::kBeginReadOnly;
  const bool usable = begins && GuaranteesNotRun(reply.code) &&
                      now >= endpoints_.at(name).faulty_until;
  const JobPtr job = DetachJob(id, usable, now);
  if (job->done) return;
  if (was_in_transaction) {
    // A statement in a transaction cannot move to another connection.
    Finish(job, UnansweredResult(JobResult::End::kLost, ""), now);
  } else {
    Retry(job, name, reply.code, now);
  }
}

bool SessionRouter::ConfirmRefusal(ConnectionId id, const StatementReply& reply,
                                   TimePoint now) {
  Connection& connection = connections_.at(id);
  const JobPtr& job = connection.job;
  const bool may_persist =
      job->has_effect && (job->commits || !connection.in_transaction);
  if (job->done || !may_persist || !GuaranteesNotRun(reply.code)) return false;
  const EndpointName name = connection.endpoint;
  if (now < endpoints_.at(name).faulty_until) {
    OnNoAnswer(DetachJob(id, false, now), name, JobResult::End::kLost, now);
    return true;
  }
  connection.refusal = reply;
  if (reply.state != TransactionState::kIdle) {
    connection.steps.emplace_back().kind = EndpointStatementKind::kRollback;
  }
  connection.steps.emplace_back().kind = EndpointStatementKind::kStatus;
  ++connection.step;
  SendStep(id, now);
  return true;
}

void SessionRouter::OnFinalReply(ConnectionId id,
                                 const StatementReply& last_reply,
                                 TimePoint now) {
  Connection& connection = connections_.at(id);
  const EndpointName name = connection.endpoint;
  EndpointState& endpoint = endpoints_.at(name);
  StatementReply reply = last_reply;
  if (connection.refusal) {
    EndpointStatement& confirmation = connection.steps.back();
    if (reply.code == ReplyCode::kBusy &&
        confirmation.kind == EndpointStatementKind::kStatus) {
      // A reset needs no slot at the endpoint.
      confirmation.kind = EndpointStatementKind::kReset;
      SendStep(id, now);
      return;
    }
    if (reply.code == ReplyCode::kOk) {
      ApplySetup(confirmation, connection.context);
    } else {
      const JobPtr job = DetachJob(id, false, now);
      if (!job->done) OnNoAnswer(job, name, JobResult::End::kLost, now);
      return;
    }
    reply = *std::exchange(connection.refusal, std::nullopt);
    reply.state = last_reply.state;
  } else if (connection.job != nullptr && ConfirmRefusal(id, reply, now)) {
    return;
  }
  if (connection.job == nullptr) {
    const bool ended =
        reply.code == ReplyCode::kOk && reply.state == TransactionState::kIdle;
    connection.in_transaction = false;
    DetachJob(id, ended, now);
    return;
  }
  const std::optional<LogPosition> required =
      connection.steps.back().min_position;
  if (reply.code == ReplyCode::kBehind) {
    endpoint.RecordBehind(required.value_or(LogPosition{}), now);
  } else {
    endpoint.RecordRefusal(reply.code == ReplyCode::kBusy);
    if (reply.code != ReplyCode::kBusy) {
      endpoint.RecordResponseTime(now - connection.sent_at, now);
    }
    if (reply.code == ReplyCode::kOk) {
      services_[connection.service].costs.Record(
          *connection.job, now - connection.sent_at -
                               round_trip_time_(endpoint.record.data_centre));
    }
    if (required) endpoint.behind_count = 0;
  }
  const bool first_in_transaction = connection.job->begin.has_value();
  const bool was_in_transaction = connection.in_transaction;
  const bool in_transaction = was_in_transaction && !connection.job->commits;
  const bool answered_ok = reply.code == ReplyCode::kOk;
  const bool stays_open =
      in_transaction && answered_ok && reply.state == TransactionState::kOpen;
  connection.in_transaction = reply.state != TransactionState::kIdle;
  const bool done = connection.job->done;
  const Term term = connection.sent_term;
  if (stays_open && !done) connection.transaction_owner = connection.job->owner;
  const bool roll_back = connection.in_transaction && (done || !stays_open);
  const bool keep = (stays_open && !done) || now >= endpoint.faulty_until ||
                    (answered_ok && !was_in_transaction);
  const JobPtr job = DetachJob(id, keep, now);
  if (roll_back && keep) SendRollback(id, now);
  if (done) return;
  const bool not_run = GuaranteesNotRun(reply.code) && !job->commits;
  if (not_run && (first_in_transaction || !in_transaction)) {
    Retry(job, name, reply.code, now);
    return;
  }
  if (reply.code == ReplyCode::kFailed && !job->has_effect && !in_transaction &&
      !job->commits && job->attempts == 0 &&
      services_[job->service].retries.TryTake(now)) {
    Retry(job, name, reply.code, now);
    return;
  }
  JobResult result;
  result.end = JobResult::End::kAnswered;
  result.reply = reply;
  result.endpoint = name;
  if (stays_open) result.connection = id;
  const bool committed =
      job->has_effect && answered_ok && (job->commits || !in_transaction);
  const PrimaryLease* lease = leases_.FindValid(job->service, now);
  if (committed &&
      (lease == nullptr || lease->endpoint != name || lease->term != term)) {
    ReportDecision(RoutingDecision::Kind::kHeldForLease, *job, name, reply.code,
                   now);
    unconfirmed_.push_back(
        {job, std::move(result), term, now + kLeaseConfirmTimeout});
    ScheduleTick(now + kLeaseConfirmTimeout);
    SettleUnconfirmedWrites(now);
    return;
  }
  Finish(job, result, now);
}

SessionRouter::JobPtr SessionRouter::DetachJob(ConnectionId id, bool keep,
                                               TimePoint now) {
  Connection& connection = connections_.at(id);
  EndpointState& endpoint = endpoints_.at(connection.endpoint);
  JobPtr job = std::move(connection.job);
  connection.job = nullptr;
  connection.refusal.reset();
  connection.doubted_rows.reset();
  connection.reads = 1;
  connection.steps.clear();
  connection.step = 0;
  connection.hedge_at = TimePoint::max();
  connection.give_up_at = TimePoint::max();
  if (job != nullptr) {
    --endpoint.running;
    --job->running;
  }
  const bool ending = !endpoint.AcceptsWork(now) || connection.outdated;
  if (!keep || (ending && !connection.in_transaction)) {
    CloseConnection(id, now);
  } else if (!connection.in_transaction) {
    connection.transaction_owner.reset();
    endpoint.pool.SetIdle(id, now);
    TrimConnections(endpoint, now);
  }
  return job;
}

void SessionRouter::CloseConnection(ConnectionId id, TimePoint /*now*/) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  EndpointState& endpoint = endpoints_.at(found->second.endpoint);
  if (found->second.job != nullptr) {
    --endpoint.running;
    --found->second.job->running;
  }
  endpoint.pool.Remove(id);
  connections_.erase(found);
  link_.Close(id);
}

}  // namespace carawayhaven
