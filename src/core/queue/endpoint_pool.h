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

/// Is told what a pool learns of its endpoint.
class EndpointPoolHandler {
 public:
  virtual ~EndpointPoolHandler() = default;

  /// Called for each answer, before the request it belongs to ends.
  virtual void OnEndpointAnswer(const EndpointName& endpoint,
                                const EndpointAnswer& answer,
                                TimePoint now) = 0;

  /// Called when a request is sent to the endpoint. The result is kept for the
  /// time that the request has there.
  virtual std::shared_ptr<void> TraceStatement(const EndpointName& /*endpoint*/,
                                               const Request& /*request*/) {
    return nullptr;
  }
};

/// Settings of a pool, from the service's configuration.
struct EndpointPoolOptions {
  EndpointName endpoint;
  /// "IP:port".
  std::string address;
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  AcknowledgeMode acknowledge = AcknowledgeMode::kReplica;
  QueuePolicy policy;
  /// A transaction idle for that long is rolled back.
  Duration transaction_idle_limit = std::chrono::seconds(30);
  /// The same while requests wait for a connection.
  Duration transaction_grace = std::chrono::seconds(2);
  /// Time that open transactions have after Drain.
  Duration drain_timeout = std::chrono::seconds(10);
};

/// Runs the requests for one endpoint. Never has more statements outstanding
/// than the endpoint has slots: a transaction holds a connection, and only a
/// running statement holds a slot. Not thread-safe; one loop, one thread.
class EndpointPool : public EndpointEvents {
 public:
  // Connections of the endpoint that the pool leaves to others: 3 for
  // monitoring, 1 for a new owner while ownership changes.
  static constexpr std::uint32_t kReservedConnections = 4;
  // An answer that is just late leaves the connection usable; after that the
  // connection counts as silent.
  static constexpr Duration kLateAnswerGrace = std::chrono::milliseconds(250);
  // On a suspected connection a statement is given up after this many times
  // the P90 of its run time: a slow run is rarely beyond it, and a statement
  // that was cut off in error is only settled by its request id.
  static constexpr int kSilentCostFactor = 4;

  /// `link` and `handler` must outlive the pool.
  EndpointPool(EndpointPoolOptions options, EndpointLink& link,
               EndpointPoolHandler& handler);
  ~EndpointPool() override;
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  /// Queues a request; `done` is called exactly once, possibly from within
  /// the call. `term` is the sender's view of the group's term. A transaction
  /// has one request at a time; a second one ends as kNotRun with kBusy.
  void Submit(Request request, Term term, OutcomeCallback done, TimePoint now);

  /// Raises the term that commands carry. A lower term is ignored.
  void SetTerm(Term term);

  /// Holds new writes and new transactions in the queue, during a planned
  /// change of primary. Open transactions go on.
  void Hold(TimePoint now);

  /// Ends Hold; the held requests run.
  void Release(TimePoint now);

  /// True while a write runs or waits for its confirmation, or a transaction
  /// is open.
  bool HasWritesInFlight() const;

  /// Open connections of another user of the endpoint have gone silent while
  /// new ones work. Probes the free connections at once, and gives up a
  /// statement on an older connection well before its deadline.
  void SuspectConnections(TimePoint now);

  /// Ends with kNotRun all that waits and takes no new work; what is in flight
  /// goes on. Open transactions go on until their caller ends them, at most
  /// for `drain_timeout`.
  void Drain(TimePoint now);

  /// True when nothing waits, runs or holds a transaction open.
  bool idle() const;

  PoolStats stats() const;

  /// Ends requests whose deadline has passed and does the pool's timed work.
  /// The first call opens the initial connections.
  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  /// A statement on the endpoint. It keeps its slot after its deadline, until
  /// its answer arrives or its connection is closed.
  struct Running {
    Work work;
    CorrelationId correlation = 0;
    Term term = 0;
    TimePoint started;
    bool counts_as_long = false;
    /// When it starts to count as long.
    TimePoint long_at = TimePoint::max();
    /// When its connection counts as silent, if connections are suspected.
    TimePoint give_up_at = TimePoint::max();
    /// What EndpointPoolHandler::TraceStatement returned.
    std::shared_ptr<void> trace;
  };
  struct Transaction {
    ConnectionId connection = 0;
    /// Its request in the queue; zero when there is none.
    WorkId queued = 0;
  };
  using Transactions = std::map<TransactionId, Transaction>;

  void Enqueue(Work work, TimePoint now);
  void EnqueueInTransaction(Work work, TimePoint now);
  bool Admit(Work& work, TimePoint now);
  void Dispatch(TimePoint now);
  std::optional<Work> NextWork(TimePoint now);
  WorkClass ClassOf(std::uint64_t fingerprint) const;
  /// Queues work again in the class that it belongs to by now, or
  /// refuses it when it can no longer meet its deadline there.
  void Requeue(Work work, TimePoint now);
  /// The same for waiting work with a fingerprint that was new.
  void RequeueUnknownCostWork(std::uint64_t fingerprint, TimePoint now);
  bool IsAged(const Work& head, TimePoint now) const;
  Duration AgeLimit(const Work& head) const;
  void Start(Work work, TimePoint now);
  void Finish(ConnectionId id, Running running, const EndpointAnswer& answer,
              TimePoint now);
  /// Frees or keeps the connection of a statement that was answered, or closes
  /// it when the state of its transaction is unknown.
  void SettleConnection(ConnectionId id, const Request& request,
                        EndpointStatus status, TimePoint now);
  void TickRunning(TimePoint now);
  TimePoint GiveUpAt(const Running& running, TimePoint now) const;
  void TickTransactions(TimePoint now);
  void ReclaimTransactions(std::size_t wanted, TimePoint now);
  /// Closes the connection and ends its statement and its transaction.
  void CloseConnection(ConnectionId id, Reason reason);
  /// Ends the transaction's queued request and forgets the transaction.
  void ForgetTransaction(ConnectionId id, Reason reason);
  void EndRunning(Running& running, Reason reason);
  void EndWork(Work& work, Verdict verdict, Reason reason,
               Duration retry_after = Duration{0});
  std::size_t StartableForConnection() const;
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
  /// The initial connections were requested.
  bool warmed_up_ = false;
  bool holding_ = false;
  bool draining_ = false;
  TimePoint drain_deadline_ = TimePoint::max();
  /// At most one for each slot.
  std::map<ConnectionId, Running> running_;
  std::uint32_t running_long_ = 0;
  /// Connections in use that may be silent; an answer clears one.
  std::set<ConnectionId> suspects_;
  /// First runs go before aged long work the next time.
  bool unknown_cost_turn_ = true;
  Transactions transactions_;
  std::map<ConnectionId, TransactionId> transaction_of_;
  /// More connections are needed than the limit allows.
  std::size_t missing_connections_ = 0;
  PoolStats totals_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_
