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

/// The result of a statement that needs an endpoint.
struct JobResult {
  enum class End : std::uint8_t {
    /// The endpoint replied; the reply is in `reply`.
    kAnswered,
    /// The statement was not sent, or every endpoint that received it refused
    /// it.
    kNotRun,
    /// The connection ended after the statement was sent and before the reply
    /// arrived, or the reply cannot be trusted.
    kLost,
    /// No reply arrived before the deadline.
    kTimedOut,
  };

  End end = End::kNotRun;
  StatementReply reply;
  /// kNotRun: why the statement did not run.
  ReplyCode reason = ReplyCode::kBusy;
  /// kNotRun: time after which a retry may succeed.
  Duration retry_after{0};
  /// Connection that the transaction keeps from now on; zero for none.
  ConnectionId connection = 0;
  EndpointName endpoint;
};

/// The session that waits for the result of a statement.
class JobOwner {
 public:
  virtual ~JobOwner() = default;

  virtual const SessionContext& context() const = 0;

  /// Called once for each job that is not abandoned, possibly from within the
  /// call that submits the job.
  virtual void OnJobDone(const JobResult& result, TimePoint now) = 0;

  /// The connection of the open transaction ended while no statement ran.
  virtual void OnTransactionLost(TimePoint now) = 0;
};

/// One statement that needs an endpoint.
struct StatementJob {
  std::shared_ptr<JobOwner> owner;
  CallerStatement statement;
  ServiceName service;
  /// Organisation of the caller; empty for none. The statement runs only on
  /// connections that were opened for it.
  OrganisationName organisation;
  /// Only the primary may run the statement.
  bool needs_primary = true;
  /// Maximum age of the data that a replica may return.
  Duration max_age{0};
  /// Position that a replica must have reached, in addition to `max_age`.
  LogPosition session_position;
  /// When the statement, or the begin of its transaction, was received.
  TimePoint received;
  TimePoint deadline;
  std::uint32_t priority = 0;
  /// The job is refused if it is expected to wait in the queue for longer.
  Duration max_queue_wait = std::chrono::hours(1);
  /// Set for the first statement of a transaction: how to open the transaction.
  std::optional<EndpointStatementKind> begin;
  /// The statement writes, or commits a transaction that has written.
  bool has_effect = false;
  bool commits = false;

  /// Connection of the transaction that the statement belongs to; zero for
  /// none.
  ConnectionId transaction_connection = 0;

  // Progress, maintained by the router.
  bool done = false;
  /// Number of connections that run the statement now.
  unsigned running = 0;
  unsigned attempts = 0;
  /// The statement was sent to an endpoint that has not refused it.
  bool may_have_run = false;
  /// When the job was first queued.
  TimePoint queued;
  TimePoint not_before;
  ReplyCode last_refusal = ReplyCode::kBusy;
  /// Time until which the job is not sent to an endpoint again, after the
  /// endpoint refused the job or did not reply.
  std::map<EndpointName, TimePoint> avoid_until;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_STATEMENT_JOB_H_
