#ifndef CARAWAYHAVEN_WIRE_PEER_CODEC_H_
#define CARAWAYHAVEN_WIRE_PEER_CODEC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Encodes a message as a FlatBuffer, without a frame header. Deadlines are
/// encoded as the time left at `now`. Thread-safe.
std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message,
                                            TimePoint now);

/// Verifies and decodes a FlatBuffer. A deadline is restored as `now` plus the
/// time left in the message, so the clocks of the VMs need not agree. Throws
/// DecodeError if the buffer is malformed or contains an unknown enum value or
/// a duration out of range. Thread-safe.
PeerMessage DecodePeerMessage(std::span<const std::uint8_t> bytes,
                              TimePoint now);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_PEER_CODEC_H_
