#ifndef CARAWAYHAVEN_NET_STREAM_EVENTS_H_
#define CARAWAYHAVEN_NET_STREAM_EVENTS_H_

#include <string_view>

namespace carawayhaven {

/// Receives the events of a byte stream. All functions are called from the
/// loop.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;

  /// An outgoing stream has been connected.
  virtual void OnStreamOpened() {}

  /// Bytes arrived. The view is valid only during the call.
  virtual void OnStreamBytes(std::string_view bytes) = 0;

  /// Bytes that were queued for sending have been written to the socket.
  virtual void OnStreamSent() {}

  /// The stream was closed or could not be opened. This is its last event.
  virtual void OnStreamClosed() = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_STREAM_EVENTS_H_
