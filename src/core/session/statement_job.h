#ifndef CARAWAYHAVEN_CORE_SESSION_STATEMENT_JOB_H_
#define CARAWAYHAVEN_CORE_SESSION_STATEMENT_JOB_H_

#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/session/session_context.h"
#include "core/session/statement.h"

namespace carawayhaven {

/// How a statement ended that needed an endpoint.
struct JobResult {
  enum class End : std::uint8_t {
    /// The endpoint answered; the answer is in `reply`.
    kAnswered,
    /// It was not sent to an endpoint, or each one it was sent to refused it.
    kNotRun,
    /// It was sent and its connection ended before the answer.
    kLost,
    /// It was sent and there was no answer in time.
    kTimedOut,
  };

  End end = End::kNotRun;
  StatementReply reply;
  /// kNotRun: why.
  ReplyCode reason = ReplyCode::kBusy;
  /// kNotRun: when a retry has a chance.
  Duration retry_after{0};
  /// Connection that the transaction holds from now on; zero for none.
  ConnectionId connection = 0;
  EndpointName endpoint;
};

/// The session that waits for a statement.
class JobOwner {
 public:
  virtual ~JobOwner() = default;

  virtual const SessionContext& context() const = 0;

  /// Called once for each job, possibly from within the call that submits it.
  virtual void OnJobDone(const JobResult& result, TimePoint now) = 0;

  /// The connection of the open transaction ended while no statement ran.
  virtual void OnTransactionLost(TimePoint now) = 0;
};

/// One statement that needs an endpoint.
struct StatementJob {
  std::shared_ptr<JobOwner> owner;
  CallerStatement statement;
  ServiceName service;
  /// Only the primary may run it.
  bool needs_primary = true;
  /// Greatest age of the data that a replica may answer with.
  Duration max_age{0};
  /// Position that a replica must have reached, beside the age.
  LogPosition session_position;
  /// When the statement, or the begin of its transaction, was received.
  TimePoint received;
  TimePoint deadline;
  std::uint32_t priority = 0;
  /// It is refused when it would wait longer than that for its turn.
  Duration max_queue_wait = std::chrono::hours(1);
  /// It is the first of a transaction, which has to be opened.
  std::optional<EndpointStatementKind> begin;
  /// It writes, or it commits a transaction that has written.
  bool has_effect = false;
  bool commits = false;

  /// Connection of the transaction that it belongs to; zero for none.
  ConnectionId transaction_connection = 0;

  // Progress, kept by the router.
  bool done = false;
  /// Connections that run it now.
  unsigned running = 0;
  unsigned attempts = 0;
  /// It was sent to an endpoint, and no refusal has come back.
  bool may_have_run = false;
  /// When it was queued first.
  TimePoint queued;
  TimePoint not_before;
  ReplyCode last_refusal = ReplyCode::kBusy;
  /// Until when each endpoint is passed over, after it refused the job.
  std::map<EndpointName, TimePoint> avoid_until;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_STATEMENT_JOB_H_
