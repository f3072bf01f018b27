#ifndef CARAWAYHAVEN_TEST_QUEUE_FAKE_ENDPOINT_H_
#define CARAWAYHAVEN_TEST_QUEUE_FAKE_ENDPOINT_H_

#include <set>
#include <string_view>
#include <vector>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"

namespace carawayhaven {

/// Records what a pool does with its connections. The test sends the answers of
/// the endpoint.
class FakeEndpoint : public EndpointLink {
 public:
  struct Sent {
    ConnectionId connection = 0;
    EndpointCommand command;
  };

  ConnectionId Open(std::string_view, EndpointEvents&) override {
    opening.insert(++last_id_);
    return last_id_;
  }

  bool Send(ConnectionId connection, const EndpointCommand& command) override {
    if (!open.contains(connection)) return false;
    sent.push_back({connection, command});
    return true;
  }

  void Close(ConnectionId connection) override {
    opening.erase(connection);
    open.erase(connection);
    closed.insert(connection);
  }

  /// Completes all pending opens.
  void FinishOpening(EndpointEvents& events, TimePoint now) {
    while (!opening.empty()) {
      const ConnectionId id = *opening.begin();
      opening.erase(id);
      open.insert(id);
      events.OnConnectionOpened(id, now);
    }
  }

  /// Fails all opens that are pending now, but not those that the pool starts
  /// in response.
  void FailOpening(EndpointEvents& events, TimePoint now) {
    const std::set<ConnectionId> failing = opening;
    for (ConnectionId id : failing) {
      if (opening.erase(id) > 0) events.OnConnectionClosed(id, now);
    }
  }

  void Lose(ConnectionId id, EndpointEvents& events, TimePoint now) {
    open.erase(id);
    events.OnConnectionClosed(id, now);
  }

  std::vector<Sent> SentOf(EndpointOperation operation) const {
    std::vector<Sent> found;
    for (const Sent& entry : sent) {
      if (entry.command.operation == operation) found.push_back(entry);
    }
    return found;
  }

  static void Answer(EndpointEvents& events, const Sent& to, TimePoint now,
                     EndpointStatus status = EndpointStatus::kOk) {
    EndpointAnswer answer;
    answer.correlation = to.command.correlation;
    answer.status = status;
    answer.term = to.command.term;
    answer.position = {to.command.term, 7};
    events.OnAnswer(to.connection, answer, now);
  }

  std::set<ConnectionId> opening;
  std::set<ConnectionId> open;
  std::set<ConnectionId> closed;
  std::vector<Sent> sent;

 private:
  ConnectionId last_id_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_QUEUE_FAKE_ENDPOINT_H_
