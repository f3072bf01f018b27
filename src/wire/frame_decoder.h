#ifndef CARAWAYHAVEN_WIRE_FRAME_DECODER_H_
#define CARAWAYHAVEN_WIRE_FRAME_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawayhaven {

/// Splits a byte stream into frames: a length of 4 bytes, big endian, then that
/// many bytes. Not thread-safe.
class FrameDecoder {
 public:
  static constexpr std::size_t kHeaderBytes = 4;
  static constexpr std::size_t kMaxFrameBytes = 1024 * 1024;

  /// Adds received bytes.
  void Append(std::span<const std::uint8_t> bytes);

  /// Removes and returns the next whole frame, or nothing. Throws DecodeError
  /// when the stream announces an empty or too large frame; the stream is then
  /// of no more use.
  std::optional<std::vector<std::uint8_t>> Next();

 private:
  std::vector<std::uint8_t> buffer_;
  std::size_t consumed_ = 0;
};

/// Puts the length in front of the payload.
std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_FRAME_DECODER_H_
