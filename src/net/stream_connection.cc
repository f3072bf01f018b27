#include "net/stream_connection.h"

#include <libwebsockets.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/stream_events.h"
#include "net/stream_transport.h"

namespace carawayhaven {
namespace {

// Bytes of one write. libwebsockets copies what the socket does not take, so a
// larger write would hold a large backlog twice.
constexpr std::size_t kMaxWriteBytes = 64 * 1024;

}  // namespace

StreamConnection::StreamConnection(StreamTransport& transport)
    : transport_(transport) {}

bool StreamConnection::Send(std::string_view bytes) {
  if (closed_ || closing_ || !connected_) return false;
  if (unsent_bytes() + bytes.size() > kMaxBacklogBytes) return false;
  send_buffer_ += bytes;
  if (!std::exchange(flush_pending_, true)) {
    transport_.pending_flushes_.push_back(shared_from_this());
  }
  return true;
}

void StreamConnection::SetReading(bool reading) {
  if (closed_ || reading_ == reading) return;
  reading_ = reading;
  if (wsi_ != nullptr) lws_rx_flow_control(wsi_, reading ? 1 : 0);
}

bool StreamConnection::HasUnreadBytes() const {
  if (wsi_ == nullptr || !connected_) return false;
  int count = 0;
  return ioctl(lws_get_socket_fd(wsi_), FIONREAD, &count) == 0 && count > 0;
}

// Bytes that arrive before the socket is closed are lost, so it is closed
// without waiting for the end of the round.
void StreamConnection::CloseAfterSend(MemoryBudget* budget) {
  if (closed_) return;
  events_ = nullptr;
  closing_ = true;
  // Unread bytes would reset the connection before the queued ones arrive.
  SetReading(true);
  if (!connected_ || !Flush()) {
    CloseSocket();
  } else if (budget != nullptr && unsent_bytes() > 0) {
    closing_account_ = std::make_unique<MemoryBudget::Account>(budget, this);
    closing_account_->Set(unsent_bytes());
  }
}

void StreamConnection::CloseForMemory() {
  transport_.loop_.Post([weak = weak_from_this()] {
    const std::shared_ptr<StreamConnection> connection = weak.lock();
    if (connection == nullptr || connection->closed_) return;
    std::string().swap(connection->send_buffer_);
    connection->sent_ = 0;
    connection->CloseSocket();
  });
}

void StreamConnection::Abort() {
  if (closed_) return;
  events_ = nullptr;
  closing_ = true;
  std::string().swap(send_buffer_);
  sent_ = 0;
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
  if (!reading_) lws_rx_flow_control(wsi_, 0);
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

bool StreamConnection::WriteQueued() {
  const std::size_t largest = std::min(unsent_bytes(), kMaxWriteBytes);
  std::vector<unsigned char> buffer(LWS_PRE + largest);
  while (unsent_bytes() > 0 && lws_partial_buffered(wsi_) == 0) {
    const std::size_t length = std::min(unsent_bytes(), kMaxWriteBytes);
    std::copy_n(send_buffer_.begin() + static_cast<std::ptrdiff_t>(sent_),
                length, buffer.begin() + LWS_PRE);
    sent_ += length;
    if (lws_write(wsi_, buffer.data() + LWS_PRE, length, LWS_WRITE_RAW) < 0) {
      return false;
    }
  }
  if (unsent_bytes() == 0) {
    sent_ = 0;
    // The memory of a large answer is returned.
    if (send_buffer_.capacity() > kMaxWriteBytes) {
      std::string().swap(send_buffer_);
    } else {
      send_buffer_.clear();
    }
  } else if (sent_ > send_buffer_.size() / 2) {
    std::string(send_buffer_, sent_).swap(send_buffer_);
    sent_ = 0;
  }
  return true;
}

bool StreamConnection::Write() {
  if (unsent_bytes() > 0) {
    if (!WriteQueued()) return false;
    if (closing_account_ != nullptr) closing_account_->Set(unsent_bytes());
    if (events_ != nullptr) events_->OnStreamSent();
    if (wsi_ == nullptr) return true;
  }
  const bool unsent = unsent_bytes() > 0 || lws_partial_buffered(wsi_) != 0;
  if (closing_ && !unsent) return false;
  if (closing_ || unsent_bytes() > 0) lws_callback_on_writable(wsi_);
  return true;
}

void StreamConnection::HandleClose() {
  if (closed_) return;
  closed_ = true;
  connected_ = false;
  wsi_ = nullptr;
  closing_account_.reset();
  const std::shared_ptr<StreamConnection> self = std::move(self_);
  if (events_ != nullptr) std::exchange(events_, nullptr)->OnStreamClosed();
}

void StreamConnection::Discard() {
  closed_ = true;
  connected_ = false;
  wsi_ = nullptr;
  closing_account_.reset();
  self_.reset();
}

}  // namespace carawayhaven
