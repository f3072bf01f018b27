#ifndef CARAWAYHAVEN_NET_WEBSOCKET_CLIENT_H_
#define CARAWAYHAVEN_NET_WEBSOCKET_CLIENT_H_

#include <libwebsockets.h>

#include <array>
#include <memory>
#include <string_view>

#include "net/websocket_connection.h"

namespace carawayhaven {

class EventLoop;

/// Opens WebSocket connections. Must outlive the last round of the loop. Not
/// thread-safe.
class WebSocketClient {
 public:
  explicit WebSocketClient(EventLoop& loop);
  WebSocketClient(const WebSocketClient&) = delete;
  WebSocketClient& operator=(const WebSocketClient&) = delete;

  /// Starts to connect to `address` ("IP:port"). `handler` must outlive the
  /// connection. Its OnOpen or OnClose is called later, never from within this
  /// call.
  std::shared_ptr<WebSocketConnection> Connect(std::string_view address,
                                               WebSocketHandler& handler);

 private:
  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);

  EventLoop& loop_;
  std::array<lws_protocols, 2> protocols_;
  lws_vhost* vhost_ = nullptr;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_WEBSOCKET_CLIENT_H_
