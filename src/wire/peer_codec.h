#ifndef CARAWAYHAVEN_WIRE_PEER_CODEC_H_
#define CARAWAYHAVEN_WIRE_PEER_CODEC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Encodes a message as a FlatBuffer without the frame header. Deadlines are
/// written as the time left at `now`. Thread-safe.
std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message,
                                            TimePoint now);

/// Decodes a FlatBuffer after running its verifier. Deadlines become times of
/// this process's clock. Throws DecodeError when the buffer is malformed or
/// holds an unknown enum value. Thread-safe.
PeerMessage DecodePeerMessage(std::span<const std::uint8_t> bytes,
                              TimePoint now);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_PEER_CODEC_H_
