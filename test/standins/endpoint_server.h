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
  /// Address ("IP:PORT") of each other endpoint of the group, by name.
  std::map<std::string, std::string> peers;
};

/// Simulates a database with a limited number of slots and connections, terms,
/// a replicated log, transactions and request ids. Faults are set over HTTP.
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

  struct ConnectionState {
    /// End of the simulated time to open the connection.
    TimePoint ready_at;
    bool in_transaction = false;
    /// Fault: messages are dropped in both directions.
    bool silent = false;
    bool is_replication_link = false;
    /// Number of statements of this connection that occupy a slot.
    std::uint32_t running_statements = 0;
    /// Uncommitted changes of the transaction.
    std::vector<Change> pending_changes;
    /// Keys that must still be absent when the transaction commits.
    std::set<std::string> claimed_keys;
  };

  void HandleMessage(const Socket& socket, const std::string& text);
  void HandleCommand(const Socket& socket, const EndpointCommand& command);
  void Execute(const Socket& socket, const EndpointCommand& command);
  void RunStatement(const Socket& socket, const EndpointCommand& command,
                    Duration run_time);
  EndpointAnswer RunRead(const EndpointCommand& command,
                         const ConnectionState& connection);
  EndpointAnswer RunWrite(const EndpointCommand& command,
                          ConnectionState& connection);
  EndpointAnswer Commit(const EndpointCommand& command,
                        ConnectionState& connection);
  EndpointAnswer Resolve(const EndpointCommand& command);
  EndpointAnswer Control(const EndpointCommand& command);
  /// Returns true and fills `answer` if the request id has already run or its
  /// attempt was cancelled.
  bool IsDecidedByRequestId(const EndpointCommand& command,
                            EndpointAnswer& answer);
  /// Returns false and fills `answer` unless this endpoint is the primary of
  /// the command's term.
  bool CheckTermAndRole(const EndpointCommand& command,
                        EndpointAnswer& answer) const;
  EndpointAnswer MakeAnswer(const EndpointCommand& command,
                            EndpointStatus status) const;
  void Reply(const Socket& socket, const EndpointAnswer& answer);
  /// Value of the key as the transaction of the connection sees it.
  nlohmann::json ReadWithPendingChanges(
      const std::string& key, const ConnectionState& connection) const;
  void SetFaults(const nlohmann::json& faults);
  void Crash(Duration downtime);

  EventLoop& loop_;
  EndpointServerOptions options_;
  EndpointState state_;
  Replication replication_;
  std::map<Socket, ConnectionState> connections_;
  /// Messages received while frozen; handled when the fault ends.
  std::deque<std::pair<Socket, std::string>> frozen_messages_;
  /// Occupied slots.
  std::uint32_t running_ = 0;
  std::uint32_t max_running_ = 0;
  std::uint64_t refused_busy_ = 0;
  std::uint64_t executed_ = 0;
  bool frozen_ = false;
  bool crashed_ = false;
  bool leaving_ = false;
  Duration statement_run_time_{1000};
};

}  // namespace carawayhaven::standins

#endif  // CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_SERVER_H_
