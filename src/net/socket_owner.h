#ifndef CARAWAYHAVEN_NET_SOCKET_OWNER_H_
#define CARAWAYHAVEN_NET_SOCKET_OWNER_H_

#include <libwebsockets.h>

#include "net/event_loop.h"

namespace carawayhaven {

/// Returns the connection stored as the opaque user data of the socket, or
/// null.
template <typename Connection>
Connection* GetConnection(const lws* wsi) {
  return static_cast<Connection*>(lws_get_opaque_user_data(wsi));
}

/// Detaches the connection from a socket that is being closed and notifies it:
/// calls HandleClose, or Discard if the loop is being destroyed. Further calls
/// for the same socket have no effect.
template <typename Connection>
void ReleaseConnection(lws* wsi) {
  auto* connection = GetConnection<Connection>(wsi);
  if (connection == nullptr) return;
  lws_set_opaque_user_data(wsi, nullptr);
  if (EventLoop::IsShuttingDown(wsi)) {
    connection->Discard();
  } else {
    connection->HandleClose();
  }
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_SOCKET_OWNER_H_
