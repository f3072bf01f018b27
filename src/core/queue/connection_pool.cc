#include "core/queue/connection_pool.h"

#include <algorithm>

#include "core/endpoint_command.h"

namespace carawayhaven {

ConnectionPool::ConnectionPool(std::string address, std::size_t min_size,
                               std::size_t max_size, EndpointLink& link,
                               EndpointEvents& events,
                               CorrelationId& next_correlation)
    : address_(std::move(address)),
      min_size_(std::min(min_size, max_size)),
      max_size_(max_size),
      link_(link),
      events_(events),
      next_correlation_(next_correlation) {}

ConnectionPool::~ConnectionPool() {
  for (const auto& [id, connection] : connections_) link_.Close(id);
}

std::size_t ConnectionPool::Maintain(std::size_t startable, TimePoint now) {
  const std::size_t usable = free_.size() + pending_;
  const std::size_t missing = startable > usable ? startable - usable : 0;
  const std::size_t target =
      std::max(draining_ ? 0 : min_size_, connections_.size() + missing);
  while (connections_.size() < std::min(target, max_size_) &&
         breaker_.TryAcquire(now)) {
    const ConnectionId id = link_.Open(address_, events_);
    SetState(id, connections_[id], State::kOpening, now + kOpenTimeout);
  }
  below_target_ = connections_.size() < std::min(target, max_size_);
  return target > max_size_ ? std::min(target - max_size_, missing) : 0;
}

ConnectionId ConnectionPool::Take() {
  if (free_.empty()) return 0;
  const ConnectionId id = free_.back();
  SetState(id, connections_.at(id), State::kInUse, TimePoint::max());
  return id;
}

void ConnectionPool::Return(ConnectionId id, TimePoint now) {
  SetState(id, connections_.at(id), State::kFree, now + kHeartbeatInterval);
}

void ConnectionPool::MarkIdle(ConnectionId id, TimePoint now) {
  SetState(id, connections_.at(id), State::kIdleInTransaction, now);
}

void ConnectionPool::MarkInUse(ConnectionId id) {
  SetState(id, connections_.at(id), State::kInUse, TimePoint::max());
}

void ConnectionPool::Close(ConnectionId id) {
  if (!Contains(id)) return;
  Remove(id);
  link_.Close(id);
}

void ConnectionPool::ProbeFreeConnections(TimePoint now) {
  const std::vector<ConnectionId> free = free_;
  for (ConnectionId id : free) {
    SetState(id, connections_.at(id), State::kFree, now);
  }
}

void ConnectionPool::Drain() {
  draining_ = true;
  std::vector<ConnectionId> without_statement;
  for (const auto& [id, connection] : connections_) {
    if (connection.state != State::kInUse &&
        connection.state != State::kIdleInTransaction) {
      without_statement.push_back(id);
    }
  }
  for (ConnectionId id : without_statement) Close(id);
}

ConnectionId ConnectionPool::FindIdleInTransactionSince(TimePoint since) const {
  return FirstIdleInTransactionAt() <= since
             ? idle_in_transaction_.begin()->second
             : 0;
}

TimePoint ConnectionPool::FirstIdleInTransactionAt() const {
  return idle_in_transaction_.empty() ? TimePoint::max()
                                      : idle_in_transaction_.begin()->first;
}

void ConnectionPool::OnOpened(ConnectionId id, TimePoint now) {
  breaker_.OnSuccess();
  Return(id, now);
}

void ConnectionPool::OnClosed(ConnectionId id, TimePoint now) {
  if (connections_.at(id).state == State::kOpening) breaker_.OnFailure(now);
  Remove(id);
}

bool ConnectionPool::OnAnswer(ConnectionId id, CorrelationId correlation,
                              TimePoint now) {
  Connection& connection = connections_.at(id);
  if (connection.state != State::kProbed ||
      connection.heartbeat != correlation) {
    return false;
  }
  Return(id, now);
  return true;
}

void ConnectionPool::Tick(Term term, TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const ConnectionId id = timers_.begin()->second;
    Connection& connection = connections_.at(id);
    if (connection.state != State::kFree) {
      if (connection.state == State::kOpening) {
        breaker_.OnFailure(now);
      } else {
        ++silent_;
      }
      Close(id);
      continue;
    }
    EndpointCommand command;
    command.operation = EndpointOperation::kStatus;
    command.correlation = next_correlation_++;
    command.term = term;
    if (!link_.Send(id, command)) {
      Close(id);
      continue;
    }
    connection.heartbeat = command.correlation;
    SetState(id, connection, State::kProbed, now + kHeartbeatTimeout);
  }
}

TimePoint ConnectionPool::NextTick() const {
  const TimePoint timer =
      timers_.empty() ? TimePoint::max() : timers_.begin()->first;
  return below_target_ ? std::min(timer, breaker_.RetryAt()) : timer;
}

void ConnectionPool::SetState(ConnectionId id, Connection& connection,
                              State state, TimePoint timer) {
  const auto is_pending = [](State value) {
    return value == State::kOpening || value == State::kProbed;
  };
  const bool is_new =
      connection.timer == TimePoint{} && connection.state == State::kOpening;
  if (!is_new) {
    if (is_pending(connection.state)) --pending_;
    timers_.erase({connection.timer, id});
    idle_in_transaction_.erase({connection.timer, id});
    if (connection.state == State::kFree) std::erase(free_, id);
  }
  connection.state = state;
  connection.timer = timer;
  if (is_pending(state)) ++pending_;
  if (state == State::kFree) free_.push_back(id);
  if (state == State::kIdleInTransaction) {
    idle_in_transaction_.emplace(timer, id);
  } else if (state != State::kInUse) {
    timers_.emplace(timer, id);
  }
}

void ConnectionPool::Remove(ConnectionId id) {
  SetState(id, connections_.at(id), State::kInUse, TimePoint::max());
  connections_.erase(id);
}

}  // namespace carawayhaven
