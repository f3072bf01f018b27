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

#include "core/limits/organisation_limiter.h"
#include "core/limits/retry_budget.h"
#include "core/session/answer_check.h"
#include "core/session/endpoint_state.h"
#include "core/session/position_history.h"
#include "core/session/primary_rights.h"
#include "core/session/router_observer.h"
#include "core/session/session_link.h"
#include "core/session/statement_costs.h"
#include "core/session/statement_job.h"
#include "core/session/statement_queue.h"

namespace carawayhaven {

/// Counters since the start that the observer's decisions do not include.
struct RouterStats {
  std::uint64_t sent_to_replica = 0;
  std::uint64_t connections_opened = 0;
  /// Idle connections closed to open one for another organisation.
  std::uint64_t connections_replaced = 0;
};

/// Chooses an endpoint and a connection for each statement, brings the
/// connection into the session's state, and decides whether a statement that is
/// refused or gets no reply is retried. Reads are retried on other endpoints; a
/// statement with an effect is sent again only after the endpoint refused it.
/// Not thread-safe; all calls must come from the thread of the event loop.
class SessionRouter : public SessionLinkEvents {
 public:
  /// Returns the expected round-trip time to a data centre.
  using RoundTripTime = std::function<Duration(const DataCentreName&)>;

  /// All references must outlive the router.
  SessionRouter(SessionLink& link, RouterObserver& observer,
                RoundTripTime round_trip_time);
  ~SessionRouter() override;
  SessionRouter(const SessionRouter&) = delete;
  SessionRouter& operator=(const SessionRouter&) = delete;

  /// Sets the limiter of organisations' operations; null for none. Must outlive
  /// the router.
  void SetLimiter(OrganisationLimiter* limiter) { limiter_ = limiter; }

  /// Adds or updates an endpoint. Returns false if the record is from an
  /// outdated copy of the registry and was ignored.
  bool SetEndpoint(const EndpointRecord& record, TimePoint now);
  /// The registry no longer has a record of the endpoint.
  void RemoveEndpoint(const EndpointName& endpoint, TimePoint now);
  /// The registry has become unavailable or available. Records that are missing
  /// may still reappear for some time after it is available again.
  void SetRegistryAvailable(bool available, TimePoint now);
  /// Sets how many connections this VM may have to each endpoint of a service
  /// and closes idle connections above the limit.
  void SetConnectionLimit(const ServiceName& service, std::uint32_t limit,
                          TimePoint now);

  /// Bounds the outstanding statements of each endpoint by an adaptive limit.
  /// To be called before the first statement.
  void EnablePacing() { pacing_ = true; }

  /// Closes all connections that run no statement and no transaction.
  void CloseIdleConnections(TimePoint now);

  /// Stores a primary lease and dispatches statements that wait for a primary.
  void GrantLease(const ServiceName& service, const PrimaryLease& lease,
                  TimePoint now);
  /// Announces that the service is expected to have a primary at `ready_at`, or
  /// at an unknown time; queued statements that need a primary earlier are
  /// refused at once.
  void ExpectPrimary(const ServiceName& service,
                     std::optional<TimePoint> ready_at, TimePoint now);
  /// Records a log position that the primary had at `at` or later.
  void AddPosition(const ServiceName& service, TimePoint at,
                   LogPosition position);

  /// Runs a statement on any suitable connection. The statement starts an
  /// operation of its organisation and is refused over the organisation's
  /// limit.
  void Submit(const std::shared_ptr<StatementJob>& job, TimePoint now);
  /// Runs a statement on the connection of its transaction. The job is lost if
  /// the connection no longer runs a transaction of the job's owner.
  void SubmitInTransaction(ConnectionId connection,
                           const std::shared_ptr<StatementJob>& job,
                           TimePoint now);
  /// Rolls back the owner's transaction on the connection. Does nothing if the
  /// connection no longer runs a transaction of the owner.
  void RollBack(ConnectionId connection, const JobOwner& owner, TimePoint now);
  /// Abandons a job whose caller has disconnected; its result is discarded.
  void Abandon(const std::shared_ptr<StatementJob>& job, TimePoint now);

  /// Ends all jobs, those that were sent as lost, and refuses new ones from now
  /// on. To be called before the process stops.
  void EndJobs(TimePoint now);

  const PrimaryLeases& leases() const { return leases_; }
  const PositionHistory* FindPositionHistory(const ServiceName& service) const;
  /// The highest log position of a commit whose success this router has
  /// reported; zero if there was none.
  LogPosition AcknowledgedPosition(const ServiceName& service) const;
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
  void OnSessionFault(ConnectionId connection, AnswerFault fault,
                      TimePoint now) override;
  void OnReply(ConnectionId connection, const StatementReply& reply,
               TimePoint now) override;

 private:
  using JobPtr = std::shared_ptr<StatementJob>;

  struct Connection {
    EndpointName endpoint;
    ServiceName service;
    /// Organisation for which the connection was opened.
    OrganisationName organisation;
    bool open = false;
    /// Opened with an earlier address, service or process of the endpoint, or
    /// received more than the awaited reply; closed when its statement or
    /// transaction ends.
    bool outdated = false;
    bool in_transaction = false;
    /// The transaction state in the latest reply.
    TransactionState state = TransactionState::kIdle;
    ConnectionContext context;
    AnswerHistory answers;
    JobPtr job;
    /// Session whose transaction uses the connection.
    std::shared_ptr<JobOwner> transaction_owner;
    std::vector<EndpointStatement> steps;
    std::size_t step = 0;
    TimePoint sent_at;
    /// The latest reply was an error, which carries no proof of its statement:
    /// the true reply may still come. Before a caller's statement is sent, a
    /// reply must arrive that only a statement of the proxy can have.
    bool needs_synchronization = false;
    /// The endpoint refused the caller's statement, which has an effect unless
    /// the refusal is true; the last step shows whether it is.
    std::optional<StatementReply> refusal;
    /// Hash of the rows of a reply whose rows alone were faulty; the read was
    /// sent again.
    std::optional<std::uint64_t> doubted_rows;
    /// Number of times that the read was sent since its rows last differed.
    unsigned reads = 1;
    /// When the running read is hedged on another endpoint; max() for never.
    TimePoint hedge_at = TimePoint::max();
    /// When the connection is closed for lack of a reply.
    TimePoint give_up_at = TimePoint::max();
    /// The endpoint had a valid primary lease when the step was sent.
    bool sent_with_lease = false;
    /// Term of the latest primary lease when the step was sent, if it was the
    /// endpoint's; zero otherwise.
    Term sent_term = 0;
  };
  struct Service {
    StatementQueue queue;
    StatementCosts costs;
    std::map<EndpointName, EndpointState*> endpoints;
    std::uint32_t connection_limit = 1;
    PositionHistory positions;
    LogPosition acknowledged;
    RetryBudget retries;
    /// A statement of an organisation was submitted.
    bool has_organisations = false;
    /// No two statements about different subjects are known to have the same
    /// first row in their replies.
    bool rows_are_distinct = true;
    /// When a primary lease is expected, or max() if that is not known; ignored
    /// while there is a valid lease.
    TimePoint primary_ready_at;
    TimePoint primary_announced_at;
    /// Dispatch traverses the queue.
    bool dispatching = false;
    /// Dispatch was called meanwhile.
    bool dispatch_again = false;
  };
  /// A successful write whose endpoint may already have been replaced as the
  /// primary when it replied.
  struct UnconfirmedWrite {
    JobPtr job;
    JobResult result;
    /// Term of the endpoint when the write was sent.
    Term term = 0;
    TimePoint until;
  };

  /// Runs a job within the limit of its organisation.
  void Admit(const JobPtr& job, TimePoint now);
  /// Asks the limiter again for the jobs that wait for it.
  void TickLimitedJobs(TimePoint now);
  /// Counts that a job will be sent again.
  void CountRepeatedSend(const StatementJob& job, TimePoint now);
  void Enqueue(const JobPtr& job);
  /// Starts the queued jobs that can be started.
  void Dispatch(const ServiceName& name, TimePoint now);
  void DispatchQueue(Service& service, TimePoint now);
  bool TryStart(const JobPtr& job, Service& service, TimePoint now);
  std::optional<LogPosition> RequiredPosition(const StatementJob& job,
                                              const Service& service) const;
  /// An endpoint for a statement, and what to do if no connection to it is
  /// usable.
  struct EndpointChoice {
    EndpointState* endpoint = nullptr;
    /// An idle connection is usable.
    bool has_connection = false;
    OrganisationPool::Decision opening;
  };
  EndpointChoice ChooseEndpoint(const StatementJob& job, const Service& service,
                                std::optional<LogPosition> required,
                                TimePoint now);
  ConnectionId ChooseConnection(const EndpointState& endpoint,
                                const StatementJob& job) const;
  /// True if the job may use an idle connection to the endpoint at once.
  bool HasUsableConnection(const EndpointState& endpoint,
                           const StatementJob& job, const Service& service,
                           bool is_primary, TimePoint now) const;
  /// Decides whether a connection is opened for the job, and which one is
  /// closed for it.
  OrganisationPool::Decision DecideOpening(const EndpointState& endpoint,
                                           const StatementJob& job,
                                           const Service& service,
                                           bool is_primary, TimePoint now);
  /// True if statements of other organisations wait that the endpoint can run.
  static bool OthersWait(const StatementJob& job, const Service& service,
                         bool is_primary, TimePoint now);
  /// Closes the connections that run nothing and marks the others as outdated.
  void RetireConnections(EndpointState& endpoint, TimePoint now);
  /// Closes idle connections above the limit of the service; all of them if the
  /// endpoint accepts no work.
  void TrimConnections(EndpointState& endpoint, TimePoint now);
  /// True if the endpoint's limit allows the job while `outstanding` statements
  /// are. Schedules the next probe otherwise.
  bool HasRoom(const EndpointState& endpoint, const StatementJob& job,
               unsigned outstanding, TimePoint now);
  /// Feeds the endpoint's limit with the reply to a step of a job.
  void RecordInLimit(const Connection& connection, const StatementReply& reply,
                     TimePoint now);
  /// Changes the endpoint's limit if pacing is enabled, and reports a collapse
  /// or a recovery.
  void UpdateLimit(EndpointState& endpoint,
                   const std::function<void(ConcurrencyLimit&)>& update);
  void OpenConnection(EndpointState& endpoint,
                      const OrganisationName& organisation, TimePoint now);
  void Start(ConnectionId id, const JobPtr& job,
             std::optional<LogPosition> required, TimePoint now);
  void SendStep(ConnectionId id, TimePoint now);
  void SendRollback(ConnectionId id, TimePoint now);
  void OnSetupReply(ConnectionId id, const StatementReply& reply,
                    TimePoint now);
  void OnFinalReply(ConnectionId id, const StatementReply& reply,
                    TimePoint now);
  /// Sends a statement whose reply shows that no reply to the refused one
  /// follows. Returns false if the refusal needs no confirmation.
  bool ConfirmRefusal(ConnectionId id, const StatementReply& reply,
                      TimePoint now);
  AnswerFault CheckReply(Connection& connection, const StatementReply& reply,
                         TimePoint now);
  void ReadAgain(ConnectionId id, AnswerFault fault,
                 const StatementReply& reply, TimePoint now);
  /// Closes the connection; a statement that was sent is treated as one without
  /// a reply.
  void RejectAnswer(ConnectionId id, AnswerFault fault, TimePoint now);
  /// The connection has ended. `failed` when that counts against the endpoint.
  void EndConnection(ConnectionId id, ReplyCode code, bool failed,
                     TimePoint now);
  /// Detaches the job from its connection and keeps or closes the connection.
  /// Returns the job, or null if the connection had none.
  JobPtr DetachJob(ConnectionId id, bool keep, TimePoint now);
  void CloseConnection(ConnectionId id, TimePoint now);
  void Retry(const JobPtr& job, const EndpointName& endpoint, ReplyCode code,
             TimePoint now);
  void OnNoAnswer(const JobPtr& job, const EndpointName& endpoint,
                  JobResult::End end, TimePoint now);
  void Refuse(const JobPtr& job, ReplyCode reason, TimePoint now,
              Duration retry_after = Duration{0});
  /// True if no primary is expected before the job's deadline and no replica
  /// may run the job.
  bool NoPrimaryBeforeDeadline(const StatementJob& job, const Service& service,
                               TimePoint now) const;
  void Finish(const JobPtr& job, const JobResult& result, TimePoint now);
  /// Records the position of a commit whose success is about to be reported.
  void RecordAcknowledgement(const StatementJob& job, const JobResult& result);
  void SettleUnconfirmedWrites(TimePoint now);
  void TickConnections(TimePoint now);
  void TickQueues(TimePoint now);
  void RecordPosition(const Connection& connection,
                      const StatementReply& reply);
  ConnectionPhase PhaseOf(const Connection& connection) const;
  void ReportFault(ConnectionId id, AnswerFault fault, TimePoint now);
  /// The endpoint counts as faulty for kFaultMemory from now on.
  void NoteFault(ConnectionId id, TimePoint now);
  void ReportDecision(RoutingDecision::Kind kind, const StatementJob& job,
                      std::string_view endpoint, ReplyCode code, TimePoint now,
                      LogPosition required = {}, ConnectionId connection = 0);
  Duration RemainingLease(const StatementJob& job, TimePoint now) const;
  void ScheduleTick(TimePoint time) { next_tick_ = std::min(next_tick_, time); }

  SessionLink& link_;
  RouterObserver& observer_;
  RoundTripTime round_trip_time_;
  PrimaryLeases leases_;
  std::map<EndpointName, EndpointState> endpoints_;
  /// Endpoints whose record was missing when the registry became unavailable.
  std::set<EndpointName> missing_at_outage_;
  std::map<ServiceName, Service> services_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::list<UnconfirmedWrite> unconfirmed_;
  bool pacing_ = false;
  OrganisationLimiter* limiter_ = nullptr;
  /// A job that waits for the limit of its organisation.
  struct LimitedJob {
    JobPtr job;
    TimePoint until;
  };
  std::list<LimitedJob> limited_;
  /// EndJobs was called.
  bool ended_ = false;
  TimePoint next_tick_ = TimePoint::max();
  RouterStats stats_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_SESSION_ROUTER_H_
