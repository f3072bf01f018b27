#ifndef CARAWAYHAVEN_NET_PEER_TRANSPORT_H_
#define CARAWAYHAVEN_NET_PEER_TRANSPORT_H_

#include <libwebsockets.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/peer_link.h"

namespace carawayhaven {

struct Address;
class EventLoop;
class PeerConnection;

/// Counters of the links to other proxies, since the start.
struct PeerTransportStats {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed_frames = 0;
};

/// Links to other proxies: frames of FlatBuffers over TCP. A pair of VMs
/// usually shares the link that either of them opened first. If both open a
/// link at the same time, both links stay in use. Idle links are not closed. A
/// message to this VM itself is delivered through the loop. Not thread-safe.
class PeerTransport : public PeerLink {
 public:
  /// Listens on the address of `self`. `events` must outlive the last event of
  /// the transport. Throws NetworkError if the address is malformed or
  /// listening on it fails.
  PeerTransport(EventLoop& loop, HelloMessage self, PeerEvents& events);
  ~PeerTransport() override;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  bool Send(const VmName& vm, const PeerMessage& message) override;
  void SetAddress(const VmName& vm, std::string_view address) override;

  /// Abandons the link to a VM that no longer answers, without an event. The
  /// next message to the VM opens a new link.
  void ResetLink(const VmName& vm);

  const PeerTransportStats& stats() const { return stats_; }
  /// Number of connections in both directions, including those being opened.
  std::size_t connections() const { return connections_; }

 private:
  friend class PeerConnection;

  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);

  std::shared_ptr<PeerConnection> Connect(const Address& address);
  void OnMessage(PeerConnection& connection, const PeerMessage& message);
  void OnHello(PeerConnection& connection, const HelloMessage& hello);
  void OnClosed(PeerConnection& connection);

  EventLoop& loop_;
  HelloMessage self_;
  PeerEvents& events_;
  std::array<lws_protocols, 2> protocols_;
  lws_vhost* vhost_ = nullptr;
  std::map<VmName, std::string, std::less<>> addresses_;
  /// The link on which messages to each VM are sent.
  std::map<VmName, std::shared_ptr<PeerConnection>, std::less<>> links_;
  std::size_t connections_ = 0;
  PeerTransportStats stats_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_PEER_TRANSPORT_H_
