#ifndef CARAWAYHAVEN_CORE_SESSION_SESSION_ROUTER_H_
#define CARAWAYHAVEN_CORE_SESSION_SESSION_ROUTER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/limits/retry_budget.h"
#include "core/session/endpoint_state.h"
#include "core/session/position_history.h"
#include "core/session/primary_rights.h"
#include "core/session/router_observer.h"
#include "core/session/session_link.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

/// Counters since the start, beside the decisions that the observer is told.
struct RouterStats {
  std::uint64_t sent_to_replica = 0;
  std::uint64_t connections_opened = 0;
};

/// Chooses an endpoint and a connection for each statement, brings the
/// connection into the session's state, and settles what becomes of a statement
/// that is refused or gets no answer. Reads are repeated elsewhere; a statement
/// with an effect is sent a second time only after the endpoint refused it.
/// Not thread-safe; one loop, one thread.
class SessionRouter : public SessionLinkEvents {
 public:
  /// Expected time to an endpoint's data centre and back.
  using RoundTripTime = std::function<Duration(const DataCentreName&)>;

  /// All references must outlive the router.
  SessionRouter(SessionLink& link, RouterObserver& observer,
                RoundTripTime round_trip_time);
  ~SessionRouter() override;
  SessionRouter(const SessionRouter&) = delete;
  SessionRouter& operator=(const SessionRouter&) = delete;

  /// Adds or updates an endpoint.
  void SetEndpoint(const EndpointRecord& record, TimePoint now);
  /// The registry has no record of the endpoint any more.
  void RemoveEndpoint(const EndpointName& endpoint, TimePoint now);
  /// Sets how many connections this VM may have to each endpoint of a service;
  /// idle ones beyond it are closed.
  void SetConnectionLimit(const ServiceName& service, std::uint32_t limit,
                          TimePoint now);

  /// Closes all connections that no session uses.
  void CloseIdleConnections(TimePoint now);

  /// Takes a right; what waits for a primary may run then.
  void GrantLease(const ServiceName& service, const PrimaryLease& lease,
                  TimePoint now);
  /// The service has no primary before `ready_at`, as far as is known: what
  /// cannot wait so long is refused at once.
  void ExpectPrimary(const ServiceName& service, TimePoint ready_at,
                     TimePoint now);
  /// Takes a position that a primary had at `at`.
  void AddPosition(const ServiceName& service, TimePoint at,
                   LogPosition position);

  /// Runs a statement on any suitable connection.
  void Submit(const std::shared_ptr<StatementJob>& job, TimePoint now);
  /// Runs a statement on the connection of its transaction.
  void SubmitInTransaction(ConnectionId connection,
                           const std::shared_ptr<StatementJob>& job,
                           TimePoint now);
  /// Ends the transaction on the connection by a rollback.
  void RollBack(ConnectionId connection, TimePoint now);
  /// Gives up a job whose caller is gone.
  void Abandon(const std::shared_ptr<StatementJob>& job, TimePoint now);

  const PrimaryLeases& leases() const { return leases_; }
  const PositionHistory* FindPositionHistory(const ServiceName& service) const;
  const std::map<EndpointName, EndpointState>& endpoints() const {
    return endpoints_;
  }
  RouterStats stats() const { return stats_; }
  std::size_t waiting() const;
  std::size_t connections() const { return connections_.size(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_tick_; }

  void OnSessionOpened(ConnectionId connection, const StatementReply& reply,
                       TimePoint now) override;
  void OnSessionClosed(ConnectionId connection, ReplyCode code,
                       TimePoint now) override;
  void OnReply(ConnectionId connection, const StatementReply& reply,
               TimePoint now) override;

 private:
  using JobPtr = std::shared_ptr<StatementJob>;

  struct Connection {
    EndpointName endpoint;
    bool open = false;
    bool in_transaction = false;
    ConnectionContext context;
    JobPtr job;
    /// The session whose transaction holds the connection.
    std::shared_ptr<JobOwner> transaction_owner;
    std::vector<EndpointStatement> steps;
    std::size_t step = 0;
    TimePoint sent_at;
    /// When the read on it is repeated elsewhere; max() when it is not.
    TimePoint hedge_at = TimePoint::max();
    /// When the connection is given up without an answer.
    TimePoint give_up_at = TimePoint::max();
    /// The endpoint was the primary, by a valid right, when the step was sent.
    bool sent_with_lease = false;
  };
  struct Service {
    std::list<JobPtr> queue;
    std::map<EndpointName, EndpointState*> endpoints;
    std::uint32_t connection_limit = 1;
    PositionHistory positions;
    RetryBudget retries;
    /// When a right is expected; only counts while there is none.
    TimePoint primary_ready_at;
  };
  /// A successful write whose endpoint may have been replaced before it.
  struct UnconfirmedWrite {
    JobPtr job;
    JobResult result;
    TimePoint until;
  };

  void Enqueue(const JobPtr& job);
  void Dispatch(const ServiceName& name, TimePoint now);
  bool TryStart(const JobPtr& job, Service& service, TimePoint now);
  std::optional<LogPosition> RequiredPosition(const StatementJob& job,
                                              const Service& service) const;
  EndpointState* ChooseEndpoint(const StatementJob& job, const Service& service,
                                std::optional<LogPosition> required,
                                TimePoint now);
  ConnectionId ChooseConnection(const EndpointState& endpoint,
                                const StatementJob& job) const;
  bool CanOpenConnection(const EndpointState& endpoint, const Service& service,
                         TimePoint now) const;
  /// Closes idle connections until no more than `limit` connections are left.
  void TrimIdleConnections(EndpointState& endpoint, std::size_t limit,
                           TimePoint now);
  void OpenConnection(EndpointState& endpoint, TimePoint now);
  void Start(ConnectionId id, const JobPtr& job,
             std::optional<LogPosition> required, TimePoint now);
  void SendStep(ConnectionId id, TimePoint now);
  void OnSetupReply(ConnectionId id, const StatementReply& reply,
                    TimePoint now);
  void OnFinalReply(ConnectionId id, const StatementReply& reply,
                    TimePoint now);
  /// Takes the job off its connection and keeps or closes the connection.
  JobPtr DetachJob(ConnectionId id, bool keep, TimePoint now);
  void CloseConnection(ConnectionId id, TimePoint now);
  void Retry(const JobPtr& job, const EndpointName& endpoint, ReplyCode code,
             TimePoint now);
  void OnNoAnswer(const JobPtr& job, const EndpointName& endpoint,
                  JobResult::End end, TimePoint now);
  void Refuse(const JobPtr& job, ReplyCode reason, TimePoint now,
              Duration retry_after = Duration{0});
  /// Time for which the next statement that goes before the queued job has
  /// waited; what is queued now waits about as long. Zero when there is none.
  Duration EstimateQueueWait(const StatementJob& job, const Service& service,
                             TimePoint now) const;
  /// True when the service gets a primary only after the job's deadline, and no
  /// replica may run it meanwhile.
  bool NoPrimaryBeforeDeadline(const StatementJob& job, const Service& service,
                               TimePoint now) const;
  void Finish(const JobPtr& job, const JobResult& result, TimePoint now);
  void SettleUnconfirmedWrites(TimePoint now);
  void TickConnections(TimePoint now);
  void TickQueues(TimePoint now);
  void RecordPosition(const Connection& connection,
                      const StatementReply& reply);
  void ReportDecision(RoutingDecision::Kind kind, const StatementJob& job,
                      std::string_view endpoint, ReplyCode code, TimePoint now,
                      LogPosition required = {});
  Duration RemainingLease(const StatementJob& job, TimePoint now) const;
  void ScheduleTick(TimePoint time) { next_tick_ = std::min(next_tick_, time); }

  SessionLink& link_;
  RouterObserver& observer_;
  RoundTripTime round_trip_time_;
  PrimaryLeases leases_;
  std::map<EndpointName, EndpointState> endpoints_;
  std::map<ServiceName, Service> services_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::list<UnconfirmedWrite> unconfirmed_writes_;
  TimePoint next_tick_ = TimePoint::max();
  RouterStats stats_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_SESSION_ROUTER_H_
