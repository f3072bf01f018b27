#include "net/websocket_connection.h"

#include <libwebsockets.h>
#include <sys/ioctl.h>

#include <cstring>
#include <vector>

namespace carawayhaven {
namespace {

// Limit of the time in which CloseAfterSend sends the queued messages.
constexpr int kCloseTimeoutSeconds = 5;

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
  int unread = 0;
  return ioctl(lws_get_socket_fd(wsi_), FIONREAD, &unread) == 0 && unread > 0;
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
  if (!send_queue_.empty()) {
    const std::string message = std::move(send_queue_.front());
    send_queue_.pop_front();
    backlog_bytes_ -= message.size();
    std::vector<unsigned char> buffer(LWS_PRE + message.size());
    std::memcpy(buffer.data() + LWS_PRE, message.data(), message.size());
    if (lws_write(wsi_, buffer.data() + LWS_PRE, message.size(),
                  LWS_WRITE_TEXT) < 0) {
      return false;
    }
  }
  if (!send_queue_.empty()) {
    lws_callback_on_writable(wsi_);
    return true;
  }
  return !close_after_send_;
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
