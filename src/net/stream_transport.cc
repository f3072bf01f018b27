#include "net/stream_transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/socket_owner.h"
#include "net/stream_events.h"

namespace carawayhaven {
namespace {

constexpr size_t kReceiveBufferBytes = 32 * 1024;

}  // namespace

StreamTransport::StreamTransport(EventLoop& loop, std::string name,
                                 Duration user_timeout)
    : loop_(loop),
      name_(std::move(name)),
      user_timeout_(user_timeout),
      protocols_{{{name_.c_str(), &StreamTransport::HandleEvent, 0,
                   kReceiveBufferBytes, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  CreateVhost(nullptr);
}

StreamTransport::StreamTransport(EventLoop& loop, std::string name,
                                 Duration user_timeout,
                                 const std::string& address, Accept accept)
    : loop_(loop),
      name_(std::move(name)),
      user_timeout_(user_timeout),
      accept_(std::move(accept)),
      protocols_{{{name_.c_str(), &StreamTransport::HandleEvent, 0,
                   kReceiveBufferBytes, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  CreateVhost(&address);
}

void StreamTransport::CreateVhost(const std::string* address_text) {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  Address address;
  if (address_text != nullptr) {
    address = ParseAddress(*address_text);
    info.port = address.port;
    info.iface = address.ip.c_str();
  }
  info.protocols = protocols_.data();
  info.vhost_name = name_.c_str();
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                 LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = name_.c_str();
  vhost_ = lws_create_vhost(loop_.context(), &info);
  if (vhost_ == nullptr) {
    throw NetworkError(error_messages::kListenFailed +
                       std::to_string(address.port));
  }
}

std::shared_ptr<StreamConnection> StreamTransport::Connect(
    const std::string& address_text, StreamEvents& events) {
  auto connection = std::make_shared<StreamConnection>(*this);
  connection->SetEvents(&events);
  loop_.Post([this, connection, address_text] {
    if (connection->closing_) return;
    const Address address = ParseAddress(address_text);
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = vhost_;
    info.address = address.ip.c_str();
    info.host = info.address;
    info.port = address.port;
    info.method = "RAW";
    info.local_protocol_name = name_.c_str();
    info.opaque_user_data = connection.get();
    info.pwsi = &connection->wsi_;
    connection->self_ = connection;
    if (lws_client_connect_via_info(&info) == nullptr) {
      connection->HandleClose();
    }
  });
  return connection;
}

void StreamTransport::Flush() {
  std::vector<std::shared_ptr<StreamConnection>> dirty;
  dirty.swap(dirty_);
  for (const auto& connection : dirty) {
    if (!connection->Flush()) connection->Kill();
  }
}

void StreamTransport::SetSocketOptions(lws* wsi) const {
  const int socket = lws_get_socket_fd(wsi);
  const unsigned timeout_ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout_)
          .count());
  const int enabled = 1;
  // Both only make a failure visible sooner; without them it still is.
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

int StreamTransport::HandleEvent(lws* wsi, lws_callback_reasons reason,
                                 void* /*user*/, void* in, size_t length) {
  auto* connection = ConnectionOf<StreamConnection>(wsi);
  switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT: {
      if (connection != nullptr) return 0;
      auto* transport =
          static_cast<StreamTransport*>(lws_get_protocol(wsi)->user);
      auto accepted = std::make_shared<StreamConnection>(*transport);
      lws_set_opaque_user_data(wsi, accepted.get());
      transport->SetSocketOptions(wsi);
      accepted->Attach(wsi);
      transport->accept_(accepted);
      return 0;
    }
    case LWS_CALLBACK_RAW_CONNECTED:
      if (connection == nullptr) return 0;
      connection->transport_.SetSocketOptions(wsi);
      connection->Attach(wsi);
      return 0;
    case LWS_CALLBACK_RAW_RX:
      if (connection == nullptr) return -1;
      connection->HandleReceive({static_cast<const char*>(in), length});
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
      if (connection == nullptr) return 0;
      return connection->HandleWritable() ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_WSI_DESTROY:
      EndConnectionOf<StreamConnection>(wsi);
      return 0;
    default:
      return 0;
  }
}

}  // namespace carawayhaven
