#include "net/stream_connection.h"

#include <libwebsockets.h>

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
  if (out_.size() + bytes.size() > kMaxBacklogBytes) return false;
  out_ += bytes;
  if (!std::exchange(dirty_, true)) {
    transport_.dirty_.push_back(shared_from_this());
  }
  return true;
}

void StreamConnection::CloseAfterSend() {
  if (closed_) return;
  events_ = nullptr;
  closing_ = true;
  if (!connected_ || out_.empty()) Kill();
}

void StreamConnection::Abort() {
  if (closed_) return;
  events_ = nullptr;
  closing_ = true;
  out_.clear();
  Kill();
}

void StreamConnection::Kill() {
  if (wsi_ != nullptr) {
    lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

void StreamConnection::Attach(lws* wsi) {
  wsi_ = wsi;
  self_ = shared_from_this();
  if (wsi_ == nullptr) return;
  connected_ = true;
  if (closing_) {
    Kill();
  } else if (events_ != nullptr) {
    events_->OnStreamOpened();
  }
}

void StreamConnection::HandleReceive(std::string_view bytes) {
  const std::shared_ptr<StreamConnection> self = shared_from_this();
  if (events_ != nullptr) events_->OnStreamBytes(bytes);
}

// Writes without waiting for a writable event: the sockets are mostly empty.
bool StreamConnection::Flush() {
  dirty_ = false;
  if (closed_ || wsi_ == nullptr) return true;
  if (lws_partial_buffered(wsi_) != 0) {
    lws_callback_on_writable(wsi_);
    return true;
  }
  return HandleWritable();
}

bool StreamConnection::HandleWritable() {
  if (!out_.empty()) {
    std::vector<unsigned char> buffer(LWS_PRE + out_.size());
    std::copy(out_.begin(), out_.end(), buffer.begin() + LWS_PRE);
    const std::size_t length = out_.size();
    out_.clear();
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
