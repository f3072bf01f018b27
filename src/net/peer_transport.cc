#include "net/peer_transport.h"

#include <utility>

#include "net/address.h"
#include "net/event_loop.h"
#include "net/peer_connection.h"
#include "net/raw_socket.h"
#include "net/socket_owner.h"
#include "wire/peer_codec.h"

namespace carawayhaven {
namespace {

constexpr char kProtocolName[] = "peer";
constexpr size_t kReceiveBufferBytes = 64 * 1024;

}  // namespace

PeerTransport::PeerTransport(EventLoop& loop, HelloMessage self,
                             PeerEvents& events)
    : loop_(loop),
      self_(std::move(self)),
      events_(events),
      protocols_{{{kProtocolName, &PeerTransport::HandleEvent, 0,
                   kReceiveBufferBytes, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  vhost_ = CreateRawVhost(loop, protocols_.data(), ParseAddress(self_.address));
}

PeerTransport::~PeerTransport() = default;

bool PeerTransport::Send(const VmName& vm, const PeerMessage& message) {
  if (vm == self_.vm) {
    loop_.Post([this, message] {
      events_.OnPeerMessage(self_.vm, message, EventLoop::Now());
    });
    return true;
  }
  std::shared_ptr<PeerConnection>& connection = links_[vm];
  if (connection == nullptr) {
    const auto address = addresses_.find(vm);
    if (address == addresses_.end()) {
      links_.erase(vm);
      return false;
    }
    const std::optional<Address> parsed = TryParseAddress(address->second);
    if (!parsed) {
      links_.erase(vm);
      return false;
    }
    connection = Connect(*parsed);
    connection->set_peer(vm);
    connection->Send(EncodePeerMessage(self_, EventLoop::Now()));
  }
  return connection->Send(EncodePeerMessage(message, EventLoop::Now()));
}

void PeerTransport::SetAddress(const VmName& vm, std::string_view address) {
  addresses_.insert_or_assign(vm, std::string(address));
}

void PeerTransport::ResetLink(const VmName& vm) {
  const auto found = links_.find(vm);
  if (found == links_.end()) return;
  const std::shared_ptr<PeerConnection> link = found->second;
  links_.erase(found);
  link->Abort();
}

std::shared_ptr<PeerConnection> PeerTransport::Connect(const Address& address) {
  auto connection = std::make_shared<PeerConnection>(*this, true);
  loop_.Post([this, connection, address] {
    connection->Attach(nullptr);
    if (!ConnectRaw(loop_, vhost_, protocols_.data(), address,
                    connection.get())) {
      connection->HandleClose();
    }
  });
  return connection;
}

int PeerTransport::HandleEvent(lws* wsi, lws_callback_reasons reason,
                               void* /*user*/, void* in, size_t length) {
  auto* connection = GetConnection<PeerConnection>(wsi);
  switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT: {
      if (connection != nullptr) return 0;
      auto* transport =
          static_cast<PeerTransport*>(lws_get_protocol(wsi)->user);
      auto accepted = std::make_shared<PeerConnection>(*transport, false);
      lws_set_opaque_user_data(wsi, accepted.get());
      accepted->Attach(wsi);
      return 0;
    }
    case LWS_CALLBACK_RAW_CONNECTED:
      if (connection != nullptr) connection->Attach(wsi);
      return 0;
    case LWS_CALLBACK_RAW_RX:
      if (connection == nullptr) return -1;
      return connection->HandleReceive(
                 {static_cast<const std::uint8_t*>(in), length})
                 ? 0
                 : -1;
    case LWS_CALLBACK_RAW_WRITEABLE:
      if (connection == nullptr) return 0;
      return connection->HandleWritable() ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_WSI_DESTROY:
      ReleaseConnection<PeerConnection>(wsi);
      return 0;
    default:
      return 0;
  }
}

// The first message on an accepted connection must be a Hello, which names the
// sender. Messages that arrive before it are dropped.
void PeerTransport::OnMessage(PeerConnection& connection,
                              const PeerMessage& message) {
  if (const auto* hello = std::get_if<HelloMessage>(&message)) {
    OnHello(connection, *hello);
  }
  if (connection.peer().empty()) return;
  events_.OnPeerMessage(connection.peer(), message, EventLoop::Now());
}

// Messages to a peer are sent on the link that the peer opened, unless this VM
// has opened one itself. A peer that opens another link has abandoned its
// earlier one. Messages sent on the earlier link may be lost, so OnPeerLost is
// called before the new link is used.
void PeerTransport::OnHello(PeerConnection& connection,
                            const HelloMessage& hello) {
  if (!connection.peer().empty()) return;
  connection.set_peer(hello.vm);
  SetAddress(hello.vm, hello.address);
  std::shared_ptr<PeerConnection>& link = links_[hello.vm];
  const std::shared_ptr<PeerConnection> earlier = link;
  if (earlier != nullptr && earlier->outgoing()) return;
  link = connection.shared_from_this();
  if (earlier == nullptr) return;
  earlier->Abort();
  events_.OnPeerLost(hello.vm, EventLoop::Now());
}

void PeerTransport::OnClosed(PeerConnection& connection) {
  const auto found = links_.find(connection.peer());
  if (found == links_.end() || found->second.get() != &connection) return;
  const VmName vm = found->first;
  links_.erase(found);
  events_.OnPeerLost(vm, EventLoop::Now());
}

}  // namespace carawayhaven
