#ifndef CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_
#define CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "core/config/team_config.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"

namespace carawayhaven {

using OutcomeCallback = std::function<void(const Outcome&)>;

/// Is told what a pool learns of its endpoint.
class EndpointPoolHandler {
 public:
  virtual ~EndpointPoolHandler() = default;

  /// Called for each answer, before the request it belongs to ends.
  virtual void OnEndpointAnswer(const EndpointName& endpoint,
                                const EndpointAnswer& answer,
                                TimePoint now) = 0;
};

/// Settings of a pool, from the service's configuration.
struct EndpointPoolOptions {
  EndpointName endpoint;
  /// "IP:port".
  std::string address;
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  AcknowledgeMode acknowledge = AcknowledgeMode::kReplica;
};

/// Owns the connections, the queue and the slots of one endpoint. Never has
/// more statements outstanding than the endpoint has slots. Not thread-safe;
/// one loop, one thread.
class EndpointPool : public EndpointEvents {
 public:
  /// `link` and `handler` must outlive the pool.
  EndpointPool(EndpointPoolOptions options, EndpointLink& link,
               EndpointPoolHandler& handler);
  ~EndpointPool() override;
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  /// Queues a request; `done` is called exactly once, possibly from within
  /// the call. `term` is the sender's view of the group's term.
  void Submit(Request request, Term term, OutcomeCallback done, TimePoint now);

  /// Raises the term that commands carry. A lower term is ignored.
  void SetTerm(Term term);

  /// Ends with kNotRun all that waits and takes no new work; what is in flight
  /// goes on. Open transactions go on until their caller ends them.
  void Drain(TimePoint now);

  /// True when nothing waits, runs or holds a transaction open.
  bool idle() const;

  /// Ends requests whose deadline has passed and does the pool's timed work.
  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  struct Work {
    Request request;
    OutcomeCallback done;
  };
  struct Connection {
    bool open = false;
    bool busy = false;
    CorrelationId correlation = 0;
    Work work;
    TransactionId transaction;
  };
  /// A write or a current read that has run and waits for a confirmation.
  struct Unconfirmed {
    Work work;
    Outcome outcome;
    /// Confirm round that may release it: one that began after it had run.
    std::uint64_t round = 0;
  };

  void Dispatch(TimePoint now);
  void StartOn(ConnectionId id, Connection& connection, Work work,
               TimePoint now);
  ConnectionId FindConnectionFor(const Request& request);
  void Finish(Connection& connection, const EndpointAnswer& answer,
              TimePoint now);
  void EndWork(Work& work, Verdict verdict, Reason reason);
  void SendConfirm(TimePoint now);
  void OnConfirmed(const EndpointAnswer& answer);
  EndpointCommand MakeCommand(const Request& request) const;

  EndpointPoolOptions options_;
  EndpointLink& link_;
  EndpointPoolHandler& handler_;
  Term term_ = 0;
  bool draining_ = false;
  std::deque<Work> queue_;
  std::map<ConnectionId, Connection> connections_;
  ConnectionId confirm_connection_ = 0;
  bool confirm_connection_open_ = false;
  CorrelationId confirm_correlation_ = 0;
  std::uint64_t confirm_round_ = 0;
  std::vector<Unconfirmed> unconfirmed_;
  CorrelationId next_correlation_ = 1;
  std::uint32_t running_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ENDPOINT_POOL_H_
