#include "net/raw_socket.h"

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"

namespace carawayhaven {

lws_vhost* CreateRawVhost(EventLoop& loop, const lws_protocols* protocols,
                          const std::optional<Address>& address) {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  if (address) {
    info.port = address->port;
    info.iface = address->ip.c_str();
  }
  info.protocols = protocols;
  info.vhost_name = protocols->name;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                 LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = protocols->name;
  lws_vhost* vhost = lws_create_vhost(loop.context(), &info);
  if (vhost == nullptr) {
    throw NetworkError(error_messages::kListenFailed +
                       std::to_string(address ? address->port : 0));
  }
  return vhost;
}

bool ConnectRaw(EventLoop& loop, lws_vhost* vhost,
                const lws_protocols* protocols, const Address& address,
                void* owner, lws** socket) {
  lws_client_connect_info info{};
  info.context = loop.context();
  info.vhost = vhost;
  info.address = address.ip.c_str();
  info.host = info.address;
  info.port = address.port;
  info.method = "RAW";
  info.local_protocol_name = protocols->name;
  info.opaque_user_data = owner;
  info.pwsi = socket;
  return lws_client_connect_via_info(&info) != nullptr;
}

}  // namespace carawayhaven
