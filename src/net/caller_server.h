#ifndef CARAWAYHAVEN_NET_CALLER_SERVER_H_
#define CARAWAYHAVEN_NET_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "carawayhaven/outcome.h"
#include "net/websocket_connection.h"
#include "net/websocket_server.h"
#include "wire/caller_codec.h"

namespace carawayhaven {

class EventLoop;

/// Ends one caller request. May be called once, at once or later; ignored when
/// the caller has gone. `transaction` is set in the answer to a begin.
using CallerResponder =
    std::function<void(const Outcome& outcome, std::string_view transaction)>;

/// Takes the requests of callers.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  virtual void OnCallerRequest(Request request, CallerResponder respond) = 0;

  /// The caller left a transaction open and has gone.
  virtual void OnTransactionAbandoned(const ServiceName& service,
                                      const TransactionId& transaction) = 0;
};

/// Counters of the caller sessions.
struct CallerServerStats {
  std::uint64_t sessions_opened = 0;
  std::uint64_t sessions_refused = 0;
  std::uint64_t requests = 0;
  std::uint64_t invalid_messages = 0;
};

/// Sessions of callers: WebSocket with JSON. A session's state is its
/// connection, its requests in flight and its open transactions. Not
/// thread-safe.
class CallerServer : private WebSocketHandler {
 public:
  static constexpr std::size_t kMaxInFlightPerSession = 128;

  /// Throws NetworkError when the address cannot be listened on.
  CallerServer(EventLoop& loop, const std::string& address,
               std::size_t max_sessions, CallerLimits limits,
               CallerHandler& handler);

  /// Tells every caller that this proxy takes no new work.
  void AnnounceLeaving();

  /// Answers that callers still wait for.
  std::size_t in_flight() const { return in_flight_; }
  std::size_t sessions() const { return sessions_.size(); }
  const CallerServerStats& stats() const { return stats_; }

 private:
  struct Session {
    std::size_t in_flight = 0;
    std::map<TransactionId, ServiceName> transactions;
  };

  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view message) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;

  void Start(const std::shared_ptr<WebSocketConnection>& socket,
             CallerRequest message);
  void Answer(const std::shared_ptr<WebSocketConnection>& socket,
              const CallerRequest& message, const Outcome& outcome,
              std::string_view transaction);

  std::size_t max_sessions_;
  CallerLimits limits_;
  CallerHandler& handler_;
  std::map<std::shared_ptr<WebSocketConnection>, Session> sessions_;
  std::size_t in_flight_ = 0;
  bool leaving_ = false;
  CallerServerStats stats_;
  WebSocketServer server_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_CALLER_SERVER_H_
