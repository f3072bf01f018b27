#ifndef CARAWAYHAVEN_NET_WEBSOCKET_CONNECTION_H_
#define CARAWAYHAVEN_NET_WEBSOCKET_CONNECTION_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace carawayhaven {

class WebSocketConnection;

/// Receives the events of WebSocket connections, from the loop.
class WebSocketHandler {
 public:
  virtual ~WebSocketHandler() = default;

  virtual void OnOpen(
      const std::shared_ptr<WebSocketConnection>& connection) = 0;

  /// A whole text message arrived. The view is valid during the call.
  virtual void OnMessage(const std::shared_ptr<WebSocketConnection>& connection,
                         std::string_view message) = 0;

  /// The connection ended, or could not be opened. Its last event.
  virtual void OnClose(
      const std::shared_ptr<WebSocketConnection>& connection) = 0;
};

/// Part of a message, as libwebsockets hands it over.
struct MessagePart {
  std::string_view text;
  /// The last part of its message.
  bool final = false;
};

/// Returns the part that a receive callback got.
MessagePart ReceivedPart(lws* wsi, const void* in, std::size_t length);

/// One WebSocket connection, on the server's or the client's side. It keeps
/// itself alive until its socket is closed. Not thread-safe.
class WebSocketConnection
    : public std::enable_shared_from_this<WebSocketConnection> {
 public:
  /// A message, or the unsent backlog, beyond these limits closes the
  /// connection: a peer that does not read must not fill the memory.
  static constexpr std::size_t kMaxMessageBytes = 256 * 1024;
  static constexpr std::size_t kMaxBacklogBytes = 8 * 1024 * 1024;

  explicit WebSocketConnection(WebSocketHandler& handler);

  /// Queues a text message. Ignored after the connection has closed, or after
  /// CloseAfterSend.
  void Send(std::string_view message);

  /// Closes after the queued messages are sent, at the latest after 5 s. No
  /// further message is delivered; OnClose follows.
  void CloseAfterSend();

  /// Closes at once; no event follows.
  void Abort();

  bool closed() const { return closed_; }

  /// Called by the libwebsockets callbacks only. A false result closes the
  /// socket.
  void Attach(lws* wsi);
  void HandleOpen();
  bool HandleReceive(const MessagePart& part);
  bool HandleWritable();
  void HandleClose();
  /// The loop ends: frees the connection without an event.
  void Discard();

 private:
  lws* wsi_ = nullptr;
  WebSocketHandler& handler_;
  std::deque<std::string> outgoing_;
  std::size_t backlog_bytes_ = 0;
  std::string incoming_;
  bool close_after_send_ = false;
  bool aborted_ = false;
  bool closed_ = false;
  std::shared_ptr<WebSocketConnection> self_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_WEBSOCKET_CONNECTION_H_
