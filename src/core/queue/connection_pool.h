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

/// Connections of one endpoint that run statements: opens them within the
/// limit, checks idle ones with a heartbeat, and closes silent ones. Not
/// thread-safe.
class ConnectionPool {
 public:
  static constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);
  static constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(250);
  // Opening takes about 10 ms; a second allows for a lost packet or two.
  static constexpr Duration kOpenTimeout = std::chrono::seconds(1);

  /// Keeps at least `warm` and at most `limit` connections. `link`, `events`
  /// and `next_correlation` must outlive the pool.
  ConnectionPool(std::string address, std::size_t warm, std::size_t limit,
                 EndpointLink& link, EndpointEvents& events,
                 CorrelationId& next_correlation);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  bool Contains(ConnectionId id) const { return connections_.contains(id); }

  /// Opens connections until `startable` requests would find a free one.
  /// Returns how many more would be needed than the limit allows.
  std::size_t Maintain(std::size_t startable, TimePoint now);

  /// Takes a free connection into use; zero when there is none.
  ConnectionId Take();

  /// Makes a connection in use free again.
  void Return(ConnectionId id, TimePoint now);

  /// Marks a connection in use as held by a transaction without a statement.
  void Hold(ConnectionId id, TimePoint now);

  /// Takes a held connection back into use.
  void Resume(ConnectionId id);

  /// Closes the connection for good.
  void Close(ConnectionId id);

  /// Makes the heartbeats of all free connections due now.
  void ProbeFreeConnections(TimePoint now);

  /// Closes all free connections and opens no more.
  void Drain();

  /// Returns the connection held longest if that is since `since` or before;
  /// otherwise zero.
  ConnectionId FindIdleInTransactionSince(TimePoint since) const;

  /// Start of the longest hold; TimePoint::max() when none is held.
  TimePoint FirstIdleInTransactionAt() const;

  void OnOpened(ConnectionId id, TimePoint now);
  void OnClosed(ConnectionId id, TimePoint now);

  /// Returns true when the answer is that of the connection's heartbeat.
  bool OnAnswer(ConnectionId id, CorrelationId correlation, TimePoint now);

  /// Sends heartbeats with that term and closes what did not answer.
  void Tick(Term term, TimePoint now);
  TimePoint NextTick() const;

  std::size_t size() const { return connections_.size(); }
  std::size_t free() const { return free_.size(); }
  std::uint64_t silent() const { return silent_; }
  const CircuitBreaker& breaker() const { return breaker_; }

 private:
  enum class State { kOpening, kFree, kProbed, kInUse, kHeld };
  struct Connection {
    State state = State::kOpening;
    /// End of opening, next heartbeat, end of a heartbeat, or start of a hold.
    TimePoint timer;
    CorrelationId heartbeat = 0;
  };

  void SetState(ConnectionId id, Connection& connection, State state,
                TimePoint timer);
  void Forget(ConnectionId id);

  std::string address_;
  std::size_t warm_;
  std::size_t limit_;
  EndpointLink& link_;
  EndpointEvents& events_;
  CorrelationId& next_correlation_;
  CircuitBreaker breaker_;
  bool draining_ = false;
  bool wants_more_ = false;
  /// Connections that are opening or wait for the answer to a heartbeat.
  std::size_t pending_ = 0;
  std::uint64_t silent_ = 0;
  std::map<ConnectionId, Connection> connections_;
  std::vector<ConnectionId> free_;
  std::set<std::pair<TimePoint, ConnectionId>> timers_;
  std::set<std::pair<TimePoint, ConnectionId>> held_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_CONNECTION_POOL_H_
