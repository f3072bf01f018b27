#ifndef CARAWAYHAVEN_NET_WEBSOCKET_CONNECTION_H_
#define CARAWAYHAVEN_NET_WEBSOCKET_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace carawayhaven {

class WebSocketConnection;

/// Receives the events of WebSocket connections. All functions are called from
/// the loop.
class WebSocketHandler {
 public:
  virtual ~WebSocketHandler() = default;

  virtual void OnOpen(
      const std::shared_ptr<WebSocketConnection>& connection) = 0;

  /// A complete text message arrived. The view is valid only during the call.
  virtual void OnMessage(const std::shared_ptr<WebSocketConnection>& connection,
                         std::string_view message) = 0;

  /// A message exceeded kMaxMessageBytes. It and all messages after it are
  /// dropped. The handler must close the connection, now or later.
  virtual void OnMessageTooLarge(
      const std::shared_ptr<WebSocketConnection>& connection);

  /// The connection was closed or could not be opened. This is its last event.
  virtual void OnClose(
      const std::shared_ptr<WebSocketConnection>& connection) = 0;
};

/// Part of a message, as received from libwebsockets.
struct MessagePart {
  std::string_view text;
  /// True for the last part of a message.
  bool final = false;
};

/// Returns the part of a message that was passed to a receive callback of
/// libwebsockets.
MessagePart ReceivedPart(lws* wsi, const void* in, std::size_t length);

/// The server's or client's side of a WebSocket connection. It keeps itself
/// alive until its socket is closed. Not thread-safe.
class WebSocketConnection
    : public std::enable_shared_from_this<WebSocketConnection> {
 public:
  static constexpr std::size_t kMaxMessageBytes = 256 * 1024;
  /// The connection is closed if the unsent backlog exceeds this limit, so that
  /// a peer that does not read cannot exhaust the memory.
  static constexpr std::size_t kMaxBacklogBytes = 8 * 1024 * 1024;

  explicit WebSocketConnection(WebSocketHandler& handler);

  /// Queues a text message. Ignored if the connection is closed, or after Abort
  /// or CloseAfterSend.
  void Send(std::string_view message);

  /// Closes the connection after the queued messages are sent, or after 5 s at
  /// the latest. Messages received meanwhile are dropped; OnClose follows.
  void CloseAfterSend();

  /// Closes the connection without sending the queued messages. No event
  /// follows.
  void Abort();

  bool closed() const { return closed_; }

  /// True if messages have not left this host completely, for example because
  /// the peer does not read, or if bytes of the peer have arrived that were not
  /// read yet.
  bool HasPendingBytes() const;

  /// Number of bytes whose receipt the peer's host has acknowledged since the
  /// connection was opened; 0 once it is closed.
  std::uint64_t DeliveredBytes() const;

  /// The following functions are called by WebSocketServer and WebSocketClient,
  /// from events of libwebsockets. If HandleReceive or HandleWritable returns
  /// false, the socket is closed.
  void Attach(lws* wsi);
  void HandleOpen();
  bool HandleReceive(const MessagePart& part);
  bool HandleWritable();
  void HandleClose();
  /// Releases the connection without an event when the loop is destroyed.
  void Discard();

 private:
  /// Returns false if the socket has failed.
  bool Write(std::string_view message);

  lws* wsi_ = nullptr;
  WebSocketHandler& handler_;
  std::deque<std::string> send_queue_;
  std::size_t backlog_bytes_ = 0;
  std::string partial_text_;
  /// True after a message that exceeded the limit.
  bool drops_messages_ = false;
  bool close_after_send_ = false;
  bool aborted_ = false;
  bool closed_ = false;
  std::shared_ptr<WebSocketConnection> self_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_WEBSOCKET_CONNECTION_H_
