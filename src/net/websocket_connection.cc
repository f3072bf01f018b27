#include "net/websocket_connection.h"

#include <libwebsockets.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace carawayhaven {
namespace {

// Limit of the time in which CloseAfterSend sends the queued messages.
constexpr int kCloseTimeoutSeconds = 5;
// Limit of what one writable event sends, so that a connection with a long
// queue does not delay the others.
constexpr std::size_t kMaxBytesPerEvent = 64 * 1024;

}  // namespace

MessagePart ReceivedPart(lws* wsi, const void* in, std::size_t length) {
  return {std::string_view(static_cast<const char*>(in), length),
          lws_is_final_fragment(wsi) != 0 &&
              lws_remaining_packet_payload(wsi) == 0};
}

void WebSocketHandler::OnMessageTooLarge(
    const std::shared_ptr<WebSocketConnection>& connection) {
  connection->CloseAfterSend();
}

WebSocketConnection::WebSocketConnection(WebSocketHandler& handler)
    : handler_(handler) {}

void WebSocketConnection::Send(std::string_view message) {
  if (closed_ || aborted_ || close_after_send_) return;
  backlog_bytes_ += message.size();
  if (backlog_bytes_ > kMaxBacklogBytes) {
    // The socket is closed without waiting for a writable event, which does not
    // come if the peer does not read.
    close_after_send_ = true;
    send_queue_.clear();
    if (wsi_ != nullptr) {
      lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    return;
  }
  send_queue_.emplace_back(message);
  if (wsi_ != nullptr) lws_callback_on_writable(wsi_);
}

void WebSocketConnection::CloseAfterSend() {
  if (closed_) return;
  close_after_send_ = true;
  if (wsi_ == nullptr) return;
  lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, kCloseTimeoutSeconds);
  lws_callback_on_writable(wsi_);
}

void WebSocketConnection::Abort() {
  if (closed_) return;
  aborted_ = true;
  if (wsi_ != nullptr) {
    lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

bool WebSocketConnection::HasPendingBytes() const {
  if (wsi_ == nullptr) return false;
  if (!send_queue_.empty() || lws_partial_buffered(wsi_) != 0) return true;
  const auto queue_is_empty = [fd = lws_get_socket_fd(wsi_)](unsigned queue) {
    int bytes = 0;
    return ioctl(fd, queue, &bytes) != 0 || bytes == 0;
  };
  return !queue_is_empty(SIOCOUTQNSD) || !queue_is_empty(FIONREAD);
}

std::uint64_t WebSocketConnection::DeliveredBytes() const {
  if (wsi_ == nullptr) return 0;
  tcp_info info{};
  socklen_t length = sizeof(info);
  const int result = getsockopt(lws_get_socket_fd(wsi_), IPPROTO_TCP, TCP_INFO,
                                &info, &length);
  return result == 0 ? info.tcpi_bytes_acked : 0;
}

void WebSocketConnection::Attach(lws* wsi) {
  wsi_ = wsi;
  self_ = shared_from_this();
}

void WebSocketConnection::HandleOpen() {
  if (aborted_) return;
  handler_.OnOpen(shared_from_this());
  if (!send_queue_.empty() || close_after_send_) lws_callback_on_writable(wsi_);
}

bool WebSocketConnection::HandleReceive(const MessagePart& part) {
  if (aborted_) return false;
  if (close_after_send_ || drops_messages_) return true;
  if (partial_text_.size() + part.text.size() > kMaxMessageBytes) {
    drops_messages_ = true;
    std::string().swap(partial_text_);
    handler_.OnMessageTooLarge(shared_from_this());
    return true;
  }
  partial_text_.append(part.text);
  if (!part.final) return true;
  const std::string message = std::move(partial_text_);
  partial_text_.clear();
  handler_.OnMessage(shared_from_this(), message);
  return true;
}

bool WebSocketConnection::HandleWritable() {
  if (aborted_) return false;
  std::size_t written = 0;
  while (!send_queue_.empty() && written < kMaxBytesPerEvent &&
         (written == 0 || lws_send_pipe_choked(wsi_) == 0)) {
    const std::string message = std::move(send_queue_.front());
    send_queue_.pop_front();
    backlog_bytes_ -= message.size();
    written += std::max<std::size_t>(message.size(), 1);
    if (!Write(message)) return false;
  }
  if (!send_queue_.empty()) {
    lws_callback_on_writable(wsi_);
    return true;
  }
  return !close_after_send_;
}

bool WebSocketConnection::Write(std::string_view message) {
  std::vector<unsigned char> buffer(LWS_PRE + message.size());
  std::memcpy(buffer.data() + LWS_PRE, message.data(), message.size());
  return lws_write(wsi_, buffer.data() + LWS_PRE, message.size(),
                   LWS_WRITE_TEXT) >= 0;
}

void WebSocketConnection::HandleClose() {
  if (closed_) return;
  closed_ = true;
  wsi_ = nullptr;
  const std::shared_ptr<WebSocketConnection> self = std::move(self_);
  if (!aborted_) handler_.OnClose(self);
}

void WebSocketConnection::Discard() {
  closed_ = true;
  wsi_ = nullptr;
  self_.reset();
}

}  // namespace carawayhaven
