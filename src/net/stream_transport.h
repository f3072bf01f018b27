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

/// Byte streams over TCP: accepts connections on one address or opens them.
/// Not thread-safe.
class StreamTransport {
 public:
  /// Called with each accepted connection; it sets the events.
  using Accept = std::function<void(std::shared_ptr<StreamConnection>)>;

  /// Listens when there is an address; `accept` is needed then. Bytes that the
  /// peer's host does not acknowledge for `user_timeout` end a connection.
  /// Throws NetworkError when it cannot listen.
  StreamTransport(EventLoop& loop, std::string name, Duration user_timeout,
                  const std::optional<std::string>& address = std::nullopt,
                  Accept accept = nullptr);
  StreamTransport(const StreamTransport&) = delete;
  StreamTransport& operator=(const StreamTransport&) = delete;

  /// Starts to connect to "IP:port". Never fails directly; a failure is an
  /// event.
  std::shared_ptr<StreamConnection> Connect(const std::string& address,
                                            StreamEvents& events);

  /// Writes what was sent in this round. To be called at the end of each round.
  void Flush();

 private:
  friend class StreamConnection;

  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);
  void SetSocketOptions(lws* wsi) const;

  EventLoop& loop_;
  /// libwebsockets keeps pointers to the name.
  std::string name_;
  Duration user_timeout_;
  Accept accept_;
  std::array<lws_protocols, 2> protocols_;
  lws_vhost* vhost_ = nullptr;
  std::vector<std::shared_ptr<StreamConnection>> dirty_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_STREAM_TRANSPORT_H_
