#ifndef CARAWAYHAVEN_NET_RAW_SOCKET_H_
#define CARAWAYHAVEN_NET_RAW_SOCKET_H_

#include <libwebsockets.h>

#include <optional>
#include <string>

#include "net/address.h"

namespace carawayhaven {

class EventLoop;

/// Returns a virtual host for TCP connections without a protocol of
/// libwebsockets, which listens when there is an address. `protocols` begins
/// with the one that gets the events and, like its name, must outlive the loop.
/// Throws NetworkError when the address cannot be listened on.
lws_vhost* CreateRawVhost(EventLoop& loop, const lws_protocols* protocols,
                          const std::optional<Address>& address);

/// Starts to connect from the virtual host. The socket has `owner` as its
/// opaque user data; `socket`, unless null, is set as soon as there is one.
/// Returns false when that fails at once.
bool ConnectRaw(EventLoop& loop, lws_vhost* vhost,
                const lws_protocols* protocols, const Address& address,
                void* owner, lws** socket = nullptr);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_RAW_SOCKET_H_
