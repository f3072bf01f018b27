#include "net/stream_transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "net/address.h"
#include "net/event_loop.h"
#include "net/raw_socket.h"
#include "net/socket_owner.h"
#include "net/stream_events.h"

namespace carawayhaven {
namespace {

constexpr size_t kReceiveBufferBytes = 32 * 1024;

}  // namespace

StreamTransport::StreamTransport(EventLoop& loop, std::string name,
                                 Duration user_timeout,
                                 const std::optional<std::string>& address,
                                 AcceptCallback accept)
    : loop_(loop),
      name_(std::move(name)),
      user_timeout_(user_timeout),
      accept_(std::move(accept)),
      protocols_{{{name_.c_str(), &StreamTransport::HandleEvent, 0,
                   kReceiveBufferBytes, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  std::optional<Address> listen;
  if (address) listen = ParseAddress(*address);
  vhost_ = CreateRawVhost(loop_, protocols_.data(), listen);
}

std::shared_ptr<StreamConnection> StreamTransport::Connect(
    const std::string& address_text, StreamEvents& events) {
  auto connection = std::make_shared<StreamConnection>(*this);
  connection->SetEvents(&events);
  loop_.Post([this, connection, address_text] {
    if (connection->closing_) return;
    connection->self_ = connection;
    const std::optional<Address> address = TryParseAddress(address_text);
    if (!address || !ConnectRaw(loop_, vhost_, protocols_.data(), *address,
                                connection.get(), &connection->wsi_)) {
      connection->HandleClose();
    }
  });
  return connection;
}

void StreamTransport::Flush() {
  std::vector<std::shared_ptr<StreamConnection>> pending;
  pending.swap(pending_flushes_);
  for (const auto& connection : pending) {
    if (!connection->Flush()) connection->CloseSocket();
  }
}

void StreamTransport::SetSocketOptions(lws* wsi) const {
  const int socket = lws_get_socket_fd(wsi);
  const unsigned timeout_ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout_)
          .count());
  const int enabled = 1;
  // Errors are ignored: without TCP_USER_TIMEOUT a failure is only detected
  // later, and without TCP_NODELAY small writes are only delayed.
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

int StreamTransport::HandleEvent(lws* wsi, lws_callback_reasons reason,
                                 void* /*user*/, void* in, size_t length) {
  auto* connection = GetConnection<StreamConnection>(wsi);
  switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT: {
      if (connection != nullptr) return 0;
      auto* transport =
          static_cast<StreamTransport*>(lws_get_protocol(wsi)->user);
      auto accepted = std::make_shared<StreamConnection>(*transport);
      lws_set_opaque_user_data(wsi, accepted.get());
      transport->SetSocketOptions(wsi);
      accepted->Attach(wsi);
      accepted->in_callback_ = true;
      transport->accept_(accepted);
      accepted->in_callback_ = false;
      return accepted->close_after_callback_ ? -1 : 0;
    }
    case LWS_CALLBACK_RAW_CONNECTED:
      if (connection == nullptr) return 0;
      connection->transport_.SetSocketOptions(wsi);
      return connection->Attach(wsi) ? 0 : -1;
    case LWS_CALLBACK_RAW_RX:
      if (connection == nullptr) return -1;
      return connection->HandleReceive({static_cast<const char*>(in), length})
                 ? 0
                 : -1;
    case LWS_CALLBACK_RAW_WRITEABLE:
      if (connection == nullptr) return 0;
      return connection->HandleWritable() ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_WSI_DESTROY:
      ReleaseConnection<StreamConnection>(wsi);
      return 0;
    default:
      return 0;
  }
}

}  // namespace carawayhaven
