#ifndef CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_
#define CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_

#include <cstddef>

#include "carawayhaven/time.h"
#include "core/peer_message.h"
#include "wire/peer_codec.h"

namespace carawayhaven::bench {

/// Bytes of a peer message on the wire: the encoded FlatBuffer, the length
/// field of the frame and the headers of one packet.
class PeerMessageSize {
 public:
  /// Headers of Ethernet, IP and TCP with time stamps. Counted for each
  /// message, although a busy link sends several messages in one packet.
  static constexpr std::size_t kPacketHeaders = 66;
  /// Length field of a frame.
  static constexpr std::size_t kFrameHeader = 4;

  static std::size_t Of(const PeerMessage& message) {
    return kPacketHeaders + kFrameHeader +
           EncodePeerMessage(message, TimePoint()).size();
  }
};

}  // namespace carawayhaven::bench

#endif  // CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_
