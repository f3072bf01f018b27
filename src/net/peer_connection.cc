#include "net/peer_connection.h"

#include <libwebsockets.h>

#include <cstring>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "net/peer_transport.h"
#include "wire/peer_codec.h"

namespace carawayhaven {
namespace {

// Frames are combined into one write until it has at least this size.
constexpr std::size_t kWriteBatchBytes = 64 * 1024;

}  // namespace

PeerConnection::PeerConnection(PeerTransport& transport, bool outgoing)
    : transport_(transport), outgoing_(outgoing) {}

bool PeerConnection::Send(std::span<const std::uint8_t> payload) {
  if (closed_ || backlog_bytes_ + payload.size() > kMaxBacklogBytes) {
    return false;
  }
  unsent_.push_back(EncodeFrame(payload));
  backlog_bytes_ += unsent_.back().size();
  ++transport_.stats_.messages_sent;
  if (wsi_ != nullptr) lws_callback_on_writable(wsi_);
  return true;
}

void PeerConnection::Abort() {
  if (wsi_ != nullptr) {
    lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

void PeerConnection::Attach(lws* wsi) {
  if (self_ == nullptr) ++transport_.connections_;
  wsi_ = wsi;
  self_ = shared_from_this();
  if (wsi_ != nullptr && !unsent_.empty()) lws_callback_on_writable(wsi_);
}

// Decodes all complete frames and passes their messages to the transport. A
// malformed frame closes only this connection.
bool PeerConnection::HandleReceive(std::span<const std::uint8_t> bytes) {
  transport_.stats_.bytes_received += bytes.size();
  try {
    decoder_.Append(bytes);
    while (const auto payload = decoder_.Next()) {
      ++transport_.stats_.messages_received;
      transport_.OnMessage(*this,
                           DecodePeerMessage(*payload, EventLoop::Now()));
    }
  } catch (const DecodeError&) {
    ++transport_.stats_.malformed_frames;
    return false;
  }
  return true;
}

bool PeerConnection::HandleWritable() {
  if (unsent_.empty()) return true;
  std::vector<unsigned char> buffer(LWS_PRE);
  while (!unsent_.empty() && buffer.size() < kWriteBatchBytes) {
    buffer.insert(buffer.end(), unsent_.front().begin(), unsent_.front().end());
    backlog_bytes_ -= unsent_.front().size();
    unsent_.pop_front();
  }
  const std::size_t length = buffer.size() - LWS_PRE;
  transport_.stats_.bytes_sent += length;
  if (lws_write(wsi_, buffer.data() + LWS_PRE, length, LWS_WRITE_RAW) < 0) {
    return false;
  }
  if (!unsent_.empty()) lws_callback_on_writable(wsi_);
  return true;
}

void PeerConnection::HandleClose() {
  if (closed_) return;
  closed_ = true;
  wsi_ = nullptr;
  const std::shared_ptr<PeerConnection> self = std::move(self_);
  --transport_.connections_;
  transport_.OnClosed(*this);
}

void PeerConnection::Discard() {
  closed_ = true;
  wsi_ = nullptr;
  self_.reset();
}

}  // namespace carawayhaven
