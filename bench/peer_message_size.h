#ifndef CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_
#define CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_

#include <cstddef>
#include <string>
#include <variant>

#include "core/peer_message.h"

namespace carawayhaven::bench {

/// Estimates of the bytes of a message on the wire, from its fields. A
/// FlatBuffer string takes 4 bytes of length, its text, a null byte and up to 3
/// of padding; a reference 4; a table 4 and its fields; tables of one kind
/// share a vtable. Each figure is rounded up.
class PeerMessageSize {
 public:
  /// Headers of Ethernet, IP and TCP with time stamps, for each message; a link
  /// that is busy sends several messages in one packet.
  static constexpr std::size_t kPacket = 66;
  /// Length of the frame, root offset, union and vtables.
  static constexpr std::size_t kFrame = 64;

  static std::size_t Of(const PeerMessage& message) {
    return kPacket + kFrame +
           std::visit([](const auto& body) { return Body(body); }, message);
  }

 private:
  static std::size_t Text(const std::string& text) {
    return 4 + 8 + text.size();
  }
  static std::size_t Body(const VmRecord& record) {
    return 4 + 8 + 8 + 4 + Text(record.vm) + Text(record.data_centre) +
           Text(record.address);
  }
  static std::size_t Body(const HeartbeatMessage& message) {
    std::size_t size = 4 + 16 + 4 + 8 + Body(message.sender);
    for (const VmRecord& record : message.changes) size += 4 + Body(record);
    return size;
  }
  static std::size_t Body(const ConfigUpdateMessage& message) {
    return 12 + Text(message.team) + Text(message.text);
  }
  static std::size_t Body(const ConfigRequestMessage& message) {
    std::size_t size = 8;
    for (const TeamVersion& version : message.versions) {
      size += 16 + Text(version.team);
    }
    return size;
  }
  // The control plane sends no other kinds.
  template <typename Other>
  static std::size_t Body(const Other& /*message*/) {
    return 0;
  }
};

}  // namespace carawayhaven::bench

#endif  // CARAWAYHAVEN_BENCH_PEER_MESSAGE_SIZE_H_
