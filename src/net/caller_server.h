#ifndef CARAWAYHAVEN_NET_CALLER_SERVER_H_
#define CARAWAYHAVEN_NET_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "carawayhaven/outcome.h"
#include "carawayhaven/time.h"
#include "net/websocket_connection.h"
#include "net/websocket_server.h"
#include "wire/caller_codec.h"

namespace carawayhaven {

class EventLoop;

/// Completes a request of a caller with an answer. Must be called exactly once,
/// either from within OnCallerRequest or later. The answer is dropped if the
/// caller has disconnected. `transaction` is the id of the transaction that a
/// begin opened; empty for all other requests.
using CallerResponder =
    std::function<void(const Outcome& outcome, std::string_view transaction)>;

/// Handles the requests of callers.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  virtual void OnCallerRequest(Request request, CallerResponder respond) = 0;

  /// The caller disconnected and left the transaction open.
  virtual void OnTransactionAbandoned(const ServiceName& service,
                                      const TransactionId& transaction) = 0;
};

/// Counters of caller sessions and their messages, since the start.
struct CallerServerStats {
  std::uint64_t sessions_opened = 0;
  std::uint64_t sessions_refused = 0;
  std::uint64_t requests = 0;
  std::uint64_t invalid_messages = 0;
};

/// Serves sessions of callers: JSON messages over WebSocket. A session consists
/// of a connection, the number of its requests in flight and its open
/// transactions. Must outlive the responders of its requests. Not thread-safe.
class CallerServer : private WebSocketHandler {
 public:
  /// Further requests are refused with reason kOverloaded.
  static constexpr std::size_t kMaxInFlightPerSession = 128;
  /// Time for which a refused session stays open. Requests that the caller sent
  /// before it received the notice are refused during that time.
  static constexpr Duration kRefusedSessionLinger = std::chrono::seconds(1);

  /// Listens on `address` ("IP:port"). `handler` must outlive the server.
  /// Throws NetworkError if the address is malformed or listening on it fails.
  CallerServer(EventLoop& loop, const std::string& address,
               std::size_t max_sessions, CallerLimits limits,
               CallerHandler& handler);

  /// Notifies all callers that this proxy accepts no new work, and refuses new
  /// sessions and their requests from then on. Requests of open sessions are
  /// still handled.
  void AnnounceLeaving();

  /// Number of requests without an answer, including those of callers that have
  /// disconnected.
  std::size_t in_flight() const { return in_flight_; }
  std::size_t sessions() const { return sessions_.size(); }
  /// True if an answer was not sent completely or a message was not read yet.
  bool HasPendingBytes() const;
  /// Number of bytes that the callers with open connections have received.
  /// While HasPendingBytes, a change shows that a caller still reads.
  std::uint64_t DeliveredBytes() const;
  const CallerServerStats& stats() const { return stats_; }

 private:
  struct Session {
    std::size_t in_flight = 0;
    /// True once a message was invalid. Further messages are dropped, and the
    /// session is closed when its requests in flight are answered.
    bool closing = false;
    std::map<TransactionId, ServiceName> transactions;
  };

  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view message) override;
  void OnMessageTooLarge(
      const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;

  void StartRequest(const std::shared_ptr<WebSocketConnection>& socket,
                    CallerRequest message);
  /// Answers a message whose id is unknown and ends its session.
  void RejectMessage(const std::shared_ptr<WebSocketConnection>& socket,
                     std::string_view error);
  void CompleteRequest(const std::shared_ptr<WebSocketConnection>& socket,
                       const CallerRequest& message, const Outcome& outcome,
                       std::string_view transaction);

  /// Answers a request that is not accepted.
  static void Refuse(WebSocketConnection& socket, const CallerRequest& message,
                     Reason reason);

  EventLoop& loop_;
  std::size_t max_sessions_;
  CallerLimits limits_;
  CallerHandler& handler_;
  std::map<std::shared_ptr<WebSocketConnection>, Session> sessions_;
  std::set<std::shared_ptr<WebSocketConnection>> refused_;
  std::size_t in_flight_ = 0;
  bool leaving_ = false;
  CallerServerStats stats_;
  WebSocketServer server_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_CALLER_SERVER_H_
