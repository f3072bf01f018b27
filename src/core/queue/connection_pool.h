#ifndef CARAWAYHAVEN_CORE_QUEUE_CONNECTION_POOL_H_
#define CARAWAYHAVEN_CORE_QUEUE_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/limits/circuit_breaker.h"

namespace carawayhaven {

/// Connections to one endpoint that run statements. Opens connections up to the
/// limit, checks free ones with heartbeats, and closes those that do not
/// answer. Not thread-safe.
class ConnectionPool {
 public:
  static constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);
  static constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(250);
  // Opening takes about 10 ms; one second leaves time to resend one or two lost
  // packets.
  static constexpr Duration kOpenTimeout = std::chrono::seconds(1);

  /// Keeps at least `min_size` and at most `max_size` connections. `link`,
  /// `events` and `next_correlation` must outlive the pool.
  ConnectionPool(std::string address, std::size_t min_size,
                 std::size_t max_size, EndpointLink& link,
                 EndpointEvents& events, CorrelationId& next_correlation);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  bool Contains(ConnectionId id) const { return connections_.contains(id); }

  /// Opens connections until each of `startable` requests can get a free one.
  /// Returns the number of connections that are missing because of the limit.
  std::size_t Maintain(std::size_t startable, TimePoint now);

  /// Marks a free connection as in use and returns it; returns zero when none
  /// is free.
  ConnectionId Take();

  /// Makes a connection that is in use free again.
  void Return(ConnectionId id, TimePoint now);

  /// Marks a connection in use as idle in its open transaction, which has no
  /// statement queued or running.
  void MarkIdle(ConnectionId id, TimePoint now);

  /// Marks a connection that is idle in a transaction as in use.
  void MarkInUse(ConnectionId id);

  /// Closes the connection and removes it from the pool. Unknown ids are
  /// ignored.
  void Close(ConnectionId id);

  /// Makes the heartbeats of all free connections due at `now`.
  void ProbeFreeConnections(TimePoint now);

  /// Closes all connections that are neither in use nor part of a transaction.
  /// Further connections are opened only for startable requests.
  void Drain();

  /// Returns the connection that has been idle in its transaction longest, if
  /// it has been so since `since` or earlier; otherwise zero.
  ConnectionId FindIdleInTransactionSince(TimePoint since) const;

  /// Time since which the longest idle transaction has been idle;
  /// TimePoint::max() when there is none.
  TimePoint FirstIdleInTransactionAt() const;

  void OnOpened(ConnectionId id, TimePoint now);
  void OnClosed(ConnectionId id, TimePoint now);

  /// Returns true when the answer belongs to the connection's heartbeat.
  bool OnAnswer(ConnectionId id, CorrelationId correlation, TimePoint now);

  /// Sends the heartbeats that are due, with `term`, and closes connections
  /// whose opening or heartbeat has timed out.
  void Tick(Term term, TimePoint now);
  TimePoint NextTick() const;

  std::size_t size() const { return connections_.size(); }
  std::size_t free() const { return free_.size(); }
  std::uint64_t silent() const { return silent_; }
  const CircuitBreaker& breaker() const { return breaker_; }

 private:
  enum class State { kOpening, kFree, kProbed, kInUse, kIdleInTransaction };
  struct Connection {
    State state = State::kOpening;
    /// End of the time for opening, time of the next heartbeat, end of the time
    /// for its answer, or start of the time idle in a transaction.
    TimePoint timer;
    CorrelationId heartbeat = 0;
  };

  void SetState(ConnectionId id, Connection& connection, State state,
                TimePoint timer);
  void Remove(ConnectionId id);

  std::string address_;
  std::size_t min_size_;
  std::size_t max_size_;
  EndpointLink& link_;
  EndpointEvents& events_;
  CorrelationId& next_correlation_;
  CircuitBreaker breaker_;
  bool draining_ = false;
  /// The breaker delays the opening of connections that are needed.
  bool below_target_ = false;
  /// Number of connections that are opening or wait for the answer to a
  /// heartbeat.
  std::size_t pending_ = 0;
  std::uint64_t silent_ = 0;
  std::map<ConnectionId, Connection> connections_;
  std::vector<ConnectionId> free_;
  std::set<std::pair<TimePoint, ConnectionId>> timers_;
  std::set<std::pair<TimePoint, ConnectionId>> idle_in_transaction_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_CONNECTION_POOL_H_
