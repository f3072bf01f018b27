#ifndef CARAWAYHAVEN_NET_PEER_CONNECTION_H_
#define CARAWAYHAVEN_NET_PEER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <vector>

#include "carawayhaven/names.h"
#include "wire/frame_decoder.h"

struct lws;

namespace carawayhaven {

class PeerTransport;

/// One TCP connection between two proxies. It keeps itself alive until its
/// socket is closed. Not thread-safe.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Unsent bytes beyond this bound are refused: a peer that does not read
  /// must not fill the memory.
  static constexpr std::size_t kMaxBacklogBytes = 16 * 1024 * 1024;

  PeerConnection(PeerTransport& transport, bool outgoing);

  /// Queues an encoded message. Returns false when the backlog is full or the
  /// connection has closed; no byte of it is sent then.
  bool Send(std::span<const std::uint8_t> payload);

  /// Closes the socket from the loop.
  void Abort();

  /// Name from the peer's Hello; empty before it arrived.
  const VmName& peer() const { return peer_; }
  void set_peer(VmName peer) { peer_ = std::move(peer); }
  bool outgoing() const { return outgoing_; }

  /// Called by the libwebsockets callbacks only. A false result closes the
  /// socket.
  void Attach(lws* wsi);
  bool HandleReceive(std::span<const std::uint8_t> bytes);
  bool HandleWritable();
  void HandleClose();
  /// The loop ends: frees the connection without an event.
  void Discard();

 private:
  PeerTransport& transport_;
  bool outgoing_;
  lws* wsi_ = nullptr;
  VmName peer_;
  FrameDecoder decoder_;
  std::deque<std::vector<std::uint8_t>> frames_;
  std::size_t backlog_bytes_ = 0;
  bool closed_ = false;
  std::shared_ptr<PeerConnection> self_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_PEER_CONNECTION_H_
