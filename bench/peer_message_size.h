#ifndef CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_
#define CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_

#include <cstddef>

#include "carawayhaven/time.h"
#include "core/peer_message.h"
#include "wire/peer_codec.h"

namespace carawayhaven::bench {

/// Bytes of a message on the wire: the FlatBuffer of the codec, the frame's
/// length and the headers of one packet.
class PeerMessageSize {
 public:
  /// Headers of Ethernet, IP and TCP with time stamps, for each message; a link
  /// that is busy sends several messages in one packet.
  static constexpr std::size_t kPacket = 66;
  static constexpr std::size_t kFrameHeader = 4;

  static std::size_t Of(const PeerMessage& message) {
    return kPacket + kFrameHeader +
           EncodePeerMessage(message, TimePoint()).size();
  }
};

}  // namespace carawayhaven::bench

#endif  // CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_
