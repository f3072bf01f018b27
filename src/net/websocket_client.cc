#include "net/websocket_client.h"

#include <string>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/socket_owner.h"

namespace carawayhaven {
namespace {

constexpr char kProtocolName[] = "carawayhaven";
constexpr size_t kReceiveBufferBytes = 16 * 1024;

}  // namespace

WebSocketClient::WebSocketClient(EventLoop& loop)
    : loop_(loop),
      protocols_{{{kProtocolName, &WebSocketClient::HandleEvent, 0,
                   kReceiveBufferBytes, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = protocols_.data();
  info.vhost_name = "websocket-client";
  vhost_ = lws_create_vhost(loop.context(), &info);
  if (vhost_ == nullptr) throw NetworkError(error_messages::kEventLoopFailed);
}

std::shared_ptr<WebSocketConnection> WebSocketClient::Connect(
    std::string_view address_text, WebSocketHandler& handler) {
  auto connection = std::make_shared<WebSocketConnection>(handler);
  const std::string address_copy(address_text);
  // The attempt starts from the loop, so that a failure that libwebsockets
  // reports immediately does not reach the handler from within this call.
  loop_.Post([this, connection, address_copy] {
    if (connection->closed()) return;
    connection->Attach(nullptr);
    const std::optional<Address> address = TryParseAddress(address_copy);
    if (!address) {
      connection->HandleClose();
      return;
    }
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = vhost_;
    info.address = address->ip.c_str();
    info.host = info.address;
    info.origin = info.address;
    info.port = address->port;
    info.path = "/";
    info.protocol = kProtocolName;
    info.local_protocol_name = kProtocolName;
    info.opaque_user_data = connection.get();
    lws* wsi = nullptr;
    info.pwsi = &wsi;
    if (lws_client_connect_via_info(&info) == nullptr) {
      connection->HandleClose();
    } else if (!connection->closed()) {
      connection->Attach(wsi);
    }
  });
  return connection;
}

int WebSocketClient::HandleEvent(lws* wsi, lws_callback_reasons reason,
                                 void* /*user*/, void* in, size_t length) {
  auto* connection = GetConnection<WebSocketConnection>(wsi);
  switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
      connection->HandleOpen();
      return 0;
    case LWS_CALLBACK_CLIENT_RECEIVE:
      return connection->HandleReceive(ReceivedPart(wsi, in, length)) ? 0 : -1;
    case LWS_CALLBACK_CLIENT_WRITEABLE:
      return connection->HandleWritable() ? 0 : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_WSI_DESTROY:
      ReleaseConnection<WebSocketConnection>(wsi);
      return 0;
    default:
      return 0;
  }
}

}  // namespace carawayhaven
