#include "net/websocket_server.h"

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "net/socket_owner.h"

namespace carawayhaven {
namespace {

// libwebsockets delivers longer messages in parts of at most this size.
constexpr size_t kReceiveBufferBytes = 16 * 1024;

}  // namespace

WebSocketServer::WebSocketServer(EventLoop& loop, const std::string& ip,
                                 std::uint16_t port, WebSocketHandler& handler)
    : handler_(handler),
      protocols_{{{"carawayhaven", &WebSocketServer::HandleEvent, 0,
                   kReceiveBufferBytes, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  lws_context_creation_info info{};
  info.port = port;
  info.iface = ip.c_str();
  info.protocols = protocols_.data();
  vhost_name_ = "websocket-" + std::to_string(port);
  info.vhost_name = vhost_name_.c_str();
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  if (lws_create_vhost(loop.context(), &info) == nullptr) {
    throw NetworkError(error_messages::kListenFailed + std::to_string(port));
  }
}

int WebSocketServer::HandleEvent(lws* wsi, lws_callback_reasons reason,
                                 void* /*user*/, void* in, size_t length) {
  auto* connection = GetConnection<WebSocketConnection>(wsi);
  switch (reason) {
    case LWS_CALLBACK_ESTABLISHED: {
      auto* server = static_cast<WebSocketServer*>(lws_get_protocol(wsi)->user);
      auto accepted = std::make_shared<WebSocketConnection>(server->handler_);
      lws_set_opaque_user_data(wsi, accepted.get());
      accepted->Attach(wsi);
      accepted->HandleOpen();
      return 0;
    }
    case LWS_CALLBACK_RECEIVE:
      return connection->HandleReceive(ReceivedPart(wsi, in, length)) ? 0 : -1;
    case LWS_CALLBACK_SERVER_WRITEABLE:
      return connection->HandleWritable() ? 0 : -1;
    case LWS_CALLBACK_CLOSED:
      ReleaseConnection<WebSocketConnection>(wsi);
      return 0;
    default:
      return 0;
  }
}

}  // namespace carawayhaven
