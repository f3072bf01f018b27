#ifndef CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_
#define CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "core/config/team_config.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_link.h"
#include "core/queue/completions.h"
#include "core/queue/confirmation_tracker.h"
#include "core/queue/connection_pool.h"
#include "core/queue/cost_estimator.h"
#include "core/queue/pool_stats.h"
#include "core/queue/queue_policy.h"
#include "core/queue/work.h"
#include "core/queue/work_queue.h"

namespace carawayhaven {

/// Receives the answers of a pool's endpoint and traces its statements.
class EndpointPoolHandler {
 public:
  virtual ~EndpointPoolHandler() = default;

  /// Called for each answer, before the request that it belongs to ends.
  virtual void OnEndpointAnswer(const EndpointName& endpoint,
                                const EndpointAnswer& answer,
                                TimePoint now) = 0;

  /// Called when a request is sent to the endpoint. The result is kept while
  /// the statement is outstanding.
  virtual std::shared_ptr<void> TraceStatement(const EndpointName& /*endpoint*/,
                                               const Request& /*request*/) {
    return nullptr;
  }
};

/// Settings of a pool, taken from the service's configuration.
struct EndpointPoolOptions {
  EndpointName endpoint;
  /// "IP:port".
  std::string address;
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  AcknowledgeMode acknowledge = AcknowledgeMode::kReplica;
  QueuePolicy policy;
  /// A transaction that is idle for this long is rolled back.
  Duration transaction_idle_timeout = std::chrono::seconds(30);
  /// The idle timeout while requests wait for a connection.
  Duration transaction_idle_timeout_on_demand = std::chrono::seconds(2);
  /// Time after Drain in which open transactions may still end.
  Duration drain_timeout = std::chrono::seconds(10);
};

/// Runs the requests for one endpoint. At most as many statements are
/// outstanding as the endpoint has slots: an open transaction occupies a
/// connection, and only a running statement occupies a slot. Not thread-safe;
/// all calls must come from the thread of the event loop.
class EndpointPool : public EndpointEvents {
 public:
  // Connections of the endpoint that the pool does not use: 3 for monitoring, 1
  // for the next pool owner while ownership changes.
  static constexpr std::uint32_t kReservedConnections = 4;
  // A connection whose answer arrives within this time after the deadline stays
  // usable. Without an answer until then the connection counts as silent and is
  // closed.
  static constexpr Duration kLateAnswerGrace = std::chrono::milliseconds(250);
  // On a suspected connection a statement is given up after this multiple of
  // the P90 of its run time. Few runs take longer, and a statement that is
  // given up although it was running can only be settled by its request id.
  static constexpr int kSilentCostFactor = 4;

  /// `link` and `handler` must outlive the pool.
  EndpointPool(EndpointPoolOptions options, EndpointLink& link,
               EndpointPoolHandler& handler);
  ~EndpointPool() override;
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  /// Queues a request; `done` is called exactly once, possibly before Submit
  /// returns. `term` is the sender's view of the group's term. A transaction
  /// has at most one request at a time; a second one ends as kNotRun with
  /// kBusy.
  void Submit(Request request, Term term, OutcomeCallback done, TimePoint now);

  /// Sets a higher term for the commands. A lower term is ignored.
  void SetTerm(Term term);

  /// Holds back new writes and new transactions, which stay queued, during a
  /// planned change of primary. Open transactions continue.
  void Hold(TimePoint now);

  /// Releases the new writes that Hold held back.
  void Release(TimePoint now);

  /// Returns true while a write runs or waits for its confirmation, or a
  /// transaction is open.
  bool HasWritesInFlight() const;

  /// To be called when open connections of another user of the endpoint have
  /// become silent although new ones work. Sends heartbeats on the free
  /// connections at once, and gives up statements on the other open connections
  /// before their deadline (kSilentCostFactor).
  void SuspectConnections(TimePoint now);

  /// Ends queued requests outside open transactions with kNotRun and accepts no
  /// new ones. Running statements continue. Open transactions continue until
  /// their caller ends them, at most for `drain_timeout`.
  void Drain(TimePoint now);

  /// Returns true when no request is queued, running or awaiting confirmation
  /// and no transaction is open.
  bool idle() const;

  PoolStats stats() const;

  /// Ends requests whose deadline has passed and does the pool's other timed
  /// work. The first call opens the initial connections.
  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  /// A statement that was sent to the endpoint. It occupies its slot until its
  /// answer arrives or its connection is closed, also after its deadline.
  struct RunningStatement {
    Work work;
    CorrelationId correlation = 0;
    Term term = 0;
    TimePoint started;
    bool counts_as_long = false;
    /// Time at which the statement is counted as long.
    TimePoint reclassify_at = TimePoint::max();
    /// Time at which the connection counts as silent, if it is suspected.
    TimePoint give_up_at = TimePoint::max();
    /// Result of EndpointPoolHandler::TraceStatement.
    std::shared_ptr<void> trace;
  };
  struct Transaction {
    ConnectionId connection = 0;
    /// Queued request of the transaction; zero when there is none.
    WorkId queued = 0;
  };
  using Transactions = std::map<TransactionId, Transaction>;

  void Enqueue(Work work, TimePoint now);
  void EnqueueInTransaction(Work work, TimePoint now);
  bool Admit(Work& work, TimePoint now);
  void Dispatch(TimePoint now);
  std::optional<Work> NextWork(TimePoint now);
  WorkClass ClassOf(std::uint64_t fingerprint) const;
  /// Queues work again in the class that its fingerprint has now, or refuses it
  /// when it cannot meet its deadline in that class.
  void Requeue(Work work, TimePoint now);
  /// Calls Requeue for the queued work of unknown cost with this fingerprint.
  void RequeueUnknownCostWork(std::uint64_t fingerprint, TimePoint now);
  bool IsAged(const Work& head, TimePoint now) const;
  Duration AgeLimit(const Work& head) const;
  void Start(Work work, TimePoint now);
  void Finish(ConnectionId id, RunningStatement running,
              const EndpointAnswer& answer, TimePoint now);
  /// After an answer: returns the connection, keeps it for its open
  /// transaction, or closes it when the state of the transaction is unknown.
  void ReturnOrCloseConnection(ConnectionId id, const Request& request,
                               EndpointStatus status, TimePoint now);
  void TickRunning(TimePoint now);
  TimePoint GiveUpAt(const RunningStatement& running, TimePoint now) const;
  void TickTransactions(TimePoint now);
  void ReclaimTransactions(std::size_t count, TimePoint now);
  /// Closes the connection and ends its statement and its transaction.
  void CloseConnection(ConnectionId id, Reason reason);
  /// Ends the queued request of the connection's transaction and removes the
  /// transaction.
  void RemoveTransaction(ConnectionId id, Reason reason);
  void EndRunningStatement(RunningStatement& running, Reason reason);
  void EndWork(Work& work, Verdict verdict, Reason reason,
               Duration retry_after = Duration{0});
  std::size_t StartableNeedingConnection() const;
  std::uint32_t LongSlots() const;
  std::uint32_t FrequentUnknownCostSlots() const;
  std::vector<std::uint64_t> RunningFingerprints() const;

  EndpointPoolOptions options_;
  EndpointPoolHandler& handler_;
  EndpointLink& link_;
  CorrelationId next_correlation_ = 1;
  Completions completions_;
  CostEstimator costs_;
  WorkQueue queue_;
  ConnectionPool connections_;
  ConfirmationTracker confirmations_;
  Term term_ = 0;
  /// True once the initial connections have been requested.
  bool opened_initial_connections_ = false;
  bool holding_writes_ = false;
  bool draining_ = false;
  TimePoint drain_deadline_ = TimePoint::max();
  /// At most one statement for each slot.
  std::map<ConnectionId, RunningStatement> running_;
  std::uint32_t running_long_ = 0;
  /// Connections in use that may be silent. An answer removes its connection.
  std::set<ConnectionId> suspected_;
  /// True when work of unknown cost goes before aged long work at the next
  /// choice.
  bool unknown_cost_turn_ = true;
  Transactions transactions_;
  std::map<ConnectionId, TransactionId> transaction_of_;
  /// Number of connections that are needed beyond the limit.
  std::size_t missing_connections_ = 0;
  PoolStats totals_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_
