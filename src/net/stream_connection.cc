#include "net/stream_connection.h"

#include <libwebsockets.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "net/stream_events.h"
#include "net/stream_transport.h"

namespace carawayhaven {

StreamConnection::StreamConnection(StreamTransport& transport)
    : transport_(transport) {}

bool StreamConnection::Send(std::string_view bytes) {
  if (closed_ || closing_ || !connected_) return false;
  if (send_buffer_.size() + bytes.size() > kMaxBacklogBytes) return false;
  send_buffer_ += bytes;
  if (!std::exchange(flush_pending_, true)) {
    transport_.pending_flushes_.push_back(shared_from_this());
  }
  return true;
}

bool StreamConnection::HasUnreadBytes() const {
  if (wsi_ == nullptr || !connected_) return false;
  int count = 0;
  return ioctl(lws_get_socket_fd(wsi_), FIONREAD, &count) == 0 && count > 0;
}

// Bytes that arrive before the socket is closed are lost, so it is closed
// without waiting for the end of the round.
void StreamConnection::CloseAfterSend() {
  if (closed_) return;
  events_ = nullptr;
  closing_ = true;
  if (!connected_ || !Flush()) CloseSocket();
}

void StreamConnection::Abort() {
  if (closed_) return;
  events_ = nullptr;
  closing_ = true;
  send_buffer_.clear();
  CloseSocket();
}

void StreamConnection::CloseSocket() {
  if (wsi_ == nullptr) return;
  if (in_callback_) {
    close_after_callback_ = true;
    return;
  }
  const std::shared_ptr<StreamConnection> self = shared_from_this();
  lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK,
                  connected_ ? LWS_TO_KILL_SYNC : LWS_TO_KILL_ASYNC);
}

bool StreamConnection::Attach(lws* wsi) {
  wsi_ = wsi;
  self_ = shared_from_this();
  if (wsi_ == nullptr) return true;
  connected_ = true;
  if (closing_) return false;
  in_callback_ = true;
  if (events_ != nullptr) events_->OnStreamOpened();
  in_callback_ = false;
  return !close_after_callback_;
}

bool StreamConnection::HandleReceive(std::string_view bytes) {
  const std::shared_ptr<StreamConnection> self = shared_from_this();
  in_callback_ = true;
  if (events_ != nullptr) events_->OnStreamBytes(bytes);
  in_callback_ = false;
  return !close_after_callback_;
}

// Writes without waiting for a writable event, since the send buffers of the
// sockets are usually empty.
bool StreamConnection::Flush() {
  flush_pending_ = false;
  if (closed_ || wsi_ == nullptr) return true;
  if (lws_partial_buffered(wsi_) != 0) {
    lws_callback_on_writable(wsi_);
    return true;
  }
  return Write();
}

bool StreamConnection::HandleWritable() {
  in_callback_ = true;
  const bool stays_open = Write();
  in_callback_ = false;
  return stays_open && !close_after_callback_;
}

bool StreamConnection::Write() {
  if (!send_buffer_.empty()) {
    std::vector<unsigned char> buffer(LWS_PRE + send_buffer_.size());
    std::copy(send_buffer_.begin(), send_buffer_.end(),
              buffer.begin() + LWS_PRE);
    const std::size_t length = send_buffer_.size();
    send_buffer_.clear();
    if (lws_write(wsi_, buffer.data() + LWS_PRE, length, LWS_WRITE_RAW) < 0) {
      return false;
    }
  }
  if (closing_) {
    if (lws_partial_buffered(wsi_) == 0) return false;
    lws_callback_on_writable(wsi_);
  }
  return true;
}

void StreamConnection::HandleClose() {
  if (closed_) return;
  closed_ = true;
  connected_ = false;
  wsi_ = nullptr;
  const std::shared_ptr<StreamConnection> self = std::move(self_);
  if (events_ != nullptr) std::exchange(events_, nullptr)->OnStreamClosed();
}

void StreamConnection::Discard() {
  closed_ = true;
  connected_ = false;
  wsi_ = nullptr;
  self_.reset();
}

}  // namespace carawayhaven
