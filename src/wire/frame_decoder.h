#ifndef CARAWAYHAVEN_WIRE_FRAME_DECODER_H_
#define CARAWAYHAVEN_WIRE_FRAME_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawayhaven {

/// Splits a byte stream into frames. A frame consists of a 4-byte big-endian
/// payload length, followed by the payload. Not thread-safe.
class FrameDecoder {
 public:
  static constexpr std::size_t kHeaderBytes = 4;
  /// Upper bound of a payload length.
  static constexpr std::size_t kMaxFrameBytes = 1024 * 1024;

  /// Appends received bytes to the buffer.
  void Append(std::span<const std::uint8_t> bytes);

  /// Removes the next complete frame from the buffer and returns its payload,
  /// or std::nullopt if more bytes are needed. Throws DecodeError if a frame
  /// header announces an empty or too large payload; the decoder must not be
  /// used after that, since the start of the next frame is unknown.
  std::optional<std::vector<std::uint8_t>> Next();

 private:
  std::vector<std::uint8_t> buffer_;
  std::size_t consumed_ = 0;
};

/// Returns a frame with the payload, whose size the caller must keep within
/// FrameDecoder::kMaxFrameBytes.
std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_FRAME_DECODER_H_
