#ifndef CARAWAYHAVEN_NET_WEBSOCKET_SERVER_H_
#define CARAWAYHAVEN_NET_WEBSOCKET_SERVER_H_

#include <libwebsockets.h>

#include <array>
#include <cstdint>
#include <string>

#include "net/websocket_connection.h"

namespace carawayhaven {

class EventLoop;

/// Accepts WebSocket connections on a port. Must outlive the last round of the
/// loop. Not thread-safe.
class WebSocketServer {
 public:
  /// `handler` must outlive the connections. Throws NetworkError if listening
  /// on the port fails.
  WebSocketServer(EventLoop& loop, const std::string& ip, std::uint16_t port,
                  WebSocketHandler& handler);
  WebSocketServer(const WebSocketServer&) = delete;
  WebSocketServer& operator=(const WebSocketServer&) = delete;

 private:
  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);

  WebSocketHandler& handler_;
  std::array<lws_protocols, 2> protocols_;
  /// libwebsockets keeps a pointer to this string.
  std::string vhost_name_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_WEBSOCKET_SERVER_H_
