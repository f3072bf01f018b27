#ifndef CARAWAYHAVEN_NET_STREAM_CONNECTION_H_
#define CARAWAYHAVEN_NET_STREAM_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace carawayhaven {

class StreamEvents;
class StreamTransport;

/// One TCP connection. What is sent in a round of the loop leaves in one write
/// at its end. Keeps itself alive until its socket is closed. Not thread-safe.
class StreamConnection : public std::enable_shared_from_this<StreamConnection> {
 public:
  /// Unsent bytes beyond this bound close the connection: a peer that does not
  /// read must not fill the memory.
  static constexpr std::size_t kMaxBacklogBytes = 4 * 1024 * 1024;

  explicit StreamConnection(StreamTransport& transport);

  /// Sets who is told of the events; null for nobody. Must outlive the
  /// connection or be set to null before.
  void SetEvents(StreamEvents* events) { events_ = events; }

  /// Queues bytes. Returns false when the connection is not open or its backlog
  /// is full; no byte is sent then.
  bool Send(std::string_view bytes);

  /// Closes the connection once all bytes are sent. No event follows.
  void CloseAfterSend();
  /// Closes the connection now. No event follows.
  void Abort();

  bool connected() const { return connected_; }

 private:
  friend class StreamTransport;

  /// Called by the transport only. A false result closes the socket.
  void Attach(lws* wsi);
  void HandleReceive(std::string_view bytes);
  bool HandleWritable();
  /// Called by the template EndConnectionOf.
  template <typename Connection>
  friend void EndConnectionOf(lws* wsi);
  void HandleClose();
  void Discard();
  void Kill();
  bool Flush();

  StreamTransport& transport_;
  StreamEvents* events_ = nullptr;
  lws* wsi_ = nullptr;
  std::string out_;
  bool connected_ = false;
  bool closed_ = false;
  bool closing_ = false;
  bool dirty_ = false;
  std::shared_ptr<StreamConnection> self_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_STREAM_CONNECTION_H_
