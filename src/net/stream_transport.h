#ifndef CARAWAYHAVEN_NET_STREAM_TRANSPORT_H_
#define CARAWAYHAVEN_NET_STREAM_TRANSPORT_H_

#include <libwebsockets.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/time.h"
#include "net/stream_connection.h"

namespace carawayhaven {

class EventLoop;
class StreamEvents;

/// Byte streams over TCP. Accepts connections on an address, or opens
/// connections. Not thread-safe.
class StreamTransport {
 public:
  /// Called with each accepted connection; must set the receiver of its events.
  using AcceptCallback = std::function<void(std::shared_ptr<StreamConnection>)>;

  /// Listens on `address` ("IP:port") if there is one; `accept` must be set in
  /// that case. A connection ends when sent bytes remain unacknowledged by the
  /// peer's host for `user_timeout`. Throws NetworkError if the address is
  /// malformed or listening on it fails.
  StreamTransport(EventLoop& loop, std::string name, Duration user_timeout,
                  const std::optional<std::string>& address = std::nullopt,
                  AcceptCallback accept = nullptr);
  StreamTransport(const StreamTransport&) = delete;
  StreamTransport& operator=(const StreamTransport&) = delete;

  /// Starts to connect to `address` ("IP:port"). A failure is reported later by
  /// OnStreamClosed.
  std::shared_ptr<StreamConnection> Connect(const std::string& address,
                                            StreamEvents& events);

  /// Writes the bytes that were queued in this round of the loop. Must be
  /// called at the end of each round.
  void Flush();

 private:
  friend class StreamConnection;

  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);
  void SetSocketOptions(lws* wsi) const;

  EventLoop& loop_;
  /// libwebsockets keeps pointers to this string.
  std::string name_;
  Duration user_timeout_;
  AcceptCallback accept_;
  std::array<lws_protocols, 2> protocols_;
  lws_vhost* vhost_ = nullptr;
  std::vector<std::shared_ptr<StreamConnection>> pending_flushes_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_STREAM_TRANSPORT_H_
