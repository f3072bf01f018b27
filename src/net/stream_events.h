#ifndef CARAWAYHAVEN_NET_STREAM_EVENTS_H_
#define CARAWAYHAVEN_NET_STREAM_EVENTS_H_

#include <string_view>

namespace carawayhaven {

/// Receives the events of one byte stream, from the loop.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;

  /// An outgoing stream is connected.
  virtual void OnStreamOpened() {}

  /// Bytes arrived.
  virtual void OnStreamBytes(std::string_view bytes) = 0;

  /// The stream ended or could not be opened. The last event.
  virtual void OnStreamClosed() = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_STREAM_EVENTS_H_
