#ifndef CARAWAYHAVEN_NET_RAW_SOCKET_H_
#define CARAWAYHAVEN_NET_RAW_SOCKET_H_

#include <libwebsockets.h>

#include <optional>
#include <string>

#include "net/address.h"

namespace carawayhaven {

class EventLoop;

/// Creates a virtual host of libwebsockets for plain TCP connections. It
/// listens on `address` if there is one. The first entry of `protocols`
/// receives the events; `protocols` and the name of that entry must outlive the
/// loop. Throws NetworkError if the virtual host cannot be created or listening
/// fails.
lws_vhost* CreateRawVhost(EventLoop& loop, const lws_protocols* protocols,
                          const std::optional<Address>& address);

/// Starts a TCP connection to `address`. `owner` becomes the opaque user data
/// of the socket. `socket`, unless null, is set as soon as the socket exists.
/// Returns false if the attempt fails immediately.
bool ConnectRaw(EventLoop& loop, lws_vhost* vhost,
                const lws_protocols* protocols, const Address& address,
                void* owner, lws** socket = nullptr);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_RAW_SOCKET_H_
