#ifndef CARAWAYHAVEN_NET_SOCKET_OWNER_H_
#define CARAWAYHAVEN_NET_SOCKET_OWNER_H_

#include <libwebsockets.h>

#include "net/event_loop.h"

namespace carawayhaven {

/// Returns the connection that was set as the socket's opaque user data, or
/// null.
template <typename Connection>
Connection* ConnectionOf(const lws* wsi) {
  return static_cast<Connection*>(lws_get_opaque_user_data(wsi));
}

/// Ends the connection of a socket that closes: with its event, or without one
/// when the loop itself ends. Does nothing the second time.
template <typename Connection>
void EndConnectionOf(lws* wsi) {
  auto* connection = ConnectionOf<Connection>(wsi);
  if (connection == nullptr) return;
  lws_set_opaque_user_data(wsi, nullptr);
  if (EventLoop::IsClosing(wsi)) {
    connection->Discard();
  } else {
    connection->HandleClose();
  }
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_SOCKET_OWNER_H_
