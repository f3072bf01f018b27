#ifndef CARAWAYHAVEN_NET_ENDPOINT_CONNECTOR_H_
#define CARAWAYHAVEN_NET_ENDPOINT_CONNECTOR_H_

#include <cstdint>
#include <map>
#include <memory>

#include "core/endpoint_link.h"
#include "net/websocket_client.h"
#include "net/websocket_connection.h"

namespace carawayhaven {

class EventLoop;

/// Connections to endpoints: JSON messages over WebSocket. Not thread-safe.
class EndpointConnector : public EndpointLink, private WebSocketHandler {
 public:
  explicit EndpointConnector(EventLoop& loop);
  ~EndpointConnector() override;
  EndpointConnector(const EndpointConnector&) = delete;
  EndpointConnector& operator=(const EndpointConnector&) = delete;

  ConnectionId Open(std::string_view address, EndpointEvents& events) override;
  bool Send(ConnectionId connection, const EndpointCommand& command) override;
  void Close(ConnectionId connection) override;

  /// Number of messages from endpoints that could not be decoded.
  std::uint64_t malformed_answers() const { return malformed_answers_; }

 private:
  struct Entry {
    std::shared_ptr<WebSocketConnection> socket;
    EndpointEvents* events = nullptr;
    bool open = false;
  };

  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view message) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;

  WebSocketClient client_;
  ConnectionId next_id_ = 1;
  std::map<ConnectionId, Entry> entries_;
  std::map<const WebSocketConnection*, ConnectionId> ids_by_socket_;
  std::uint64_t malformed_answers_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_ENDPOINT_CONNECTOR_H_
