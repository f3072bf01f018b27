#ifndef CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_SERVER_H_
#define CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayhaven/time.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "net/http_server.h"
#include "net/websocket_connection.h"
#include "standins/endpoint_state.h"
#include "standins/replication.h"

namespace carawayhaven::standins {

struct EndpointServerOptions {
  std::string name;
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  std::map<std::string, std::string> peers;
};

/// A database with slots, a bound on connections, terms, a replicated log,
/// transactions and request ids. Faults are set over HTTP.
class EndpointServer : public WebSocketHandler, public HttpHandler {
 public:
  EndpointServer(EventLoop& loop, const EndpointServerOptions& options);

  Replication& replication() { return replication_; }

  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view text) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnRequest(const HttpRequest& request, HttpResponder respond) override;

 private:
  using Socket = std::shared_ptr<WebSocketConnection>;

  struct Session {
    TimePoint ready_at;
    bool in_transaction = false;
    bool silent = false;
    bool replication = false;
    /// Statements of this connection that hold a slot.
    std::uint32_t running = 0;
    std::vector<Change> changes;
    std::set<std::string> claimed;
  };

  void HandleMessage(const Socket& socket, const std::string& text);
  void HandleCommand(const Socket& socket, const EndpointCommand& command);
  void Execute(const Socket& socket, const EndpointCommand& command);
  void RunStatement(const Socket& socket, const EndpointCommand& command,
                    Duration cost);
  EndpointAnswer RunRead(const EndpointCommand& command,
                         const Session& session);
  EndpointAnswer RunWrite(const EndpointCommand& command, Session& session);
  EndpointAnswer Commit(const EndpointCommand& command, Session& session);
  EndpointAnswer Resolve(const EndpointCommand& command);
  EndpointAnswer Control(const EndpointCommand& command);
  /// Fills `answer` and returns true when the id decides the write already.
  bool DecidedByRequestId(const EndpointCommand& command,
                          EndpointAnswer& answer);
  bool MayRun(const EndpointCommand& command, EndpointAnswer& answer) const;
  EndpointAnswer MakeAnswer(const EndpointCommand& command,
                            EndpointStatus status) const;
  void Reply(const Socket& socket, const EndpointAnswer& answer);
  nlohmann::json ReadInSession(const std::string& key,
                               const Session& session) const;
  void SetFaults(const nlohmann::json& faults);
  void Crash(Duration downtime);

  EventLoop& loop_;
  EndpointServerOptions options_;
  EndpointState state_;
  Replication replication_;
  std::map<Socket, Session> sessions_;
  std::deque<std::pair<Socket, std::string>> held_;
  std::uint32_t running_ = 0;
  std::uint32_t max_running_ = 0;
  std::uint64_t refused_busy_ = 0;
  std::uint64_t executed_ = 0;
  bool frozen_ = false;
  bool crashed_ = false;
  bool leaving_ = false;
  Duration statement_cost_{1000};
};

}  // namespace carawayhaven::standins

#endif  // CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_SERVER_H_
