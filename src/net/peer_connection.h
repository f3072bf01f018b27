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

/// A TCP connection between two proxies. It keeps itself alive until its socket
/// is closed. Not thread-safe.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Messages are refused if the unsent bytes would exceed this limit, so that
  /// a peer that does not read cannot exhaust the memory.
  static constexpr std::size_t kMaxBacklogBytes = 16 * 1024 * 1024;

  PeerConnection(PeerTransport& transport, bool outgoing);

  /// Queues an encoded message. Returns false, and sends no byte of it, if the
  /// backlog is full or the connection is closed.
  bool Send(std::span<const std::uint8_t> payload);

  /// Closes the socket from the loop. Has no effect before the socket is
  /// connected.
  void Abort();

  /// Name of the peer. Empty on an accepted connection until the Hello message
  /// has arrived.
  const VmName& peer() const { return peer_; }
  void set_peer(VmName peer) { peer_ = std::move(peer); }
  bool outgoing() const { return outgoing_; }

  /// The following functions are called by PeerTransport, from events of
  /// libwebsockets. If HandleReceive or HandleWritable returns false, the
  /// socket is closed.
  void Attach(lws* wsi);
  bool HandleReceive(std::span<const std::uint8_t> bytes);
  bool HandleWritable();
  void HandleClose();
  /// Releases the connection without an event when the loop is destroyed.
  void Discard();

 private:
  PeerTransport& transport_;
  bool outgoing_;
  lws* wsi_ = nullptr;
  VmName peer_;
  FrameDecoder decoder_;
  std::deque<std::vector<std::uint8_t>> unsent_;
  std::size_t backlog_bytes_ = 0;
  bool closed_ = false;
  std::shared_ptr<PeerConnection> self_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_PEER_CONNECTION_H_
