#include "wire/frame_decoder.h"

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

std::size_t ReadLength(std::span<const std::uint8_t> header) {
  std::size_t length = 0;
  for (const std::uint8_t byte : header) length = (length << 8) | byte;
  return length;
}

}  // namespace

void FrameDecoder::Append(std::span<const std::uint8_t> bytes) {
  buffer_.erase(buffer_.begin(),
                buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
  consumed_ = 0;
  buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

std::optional<std::vector<std::uint8_t>> FrameDecoder::Next() {
  const std::span<const std::uint8_t> remaining =
      std::span<const std::uint8_t>(buffer_).subspan(consumed_);
  if (remaining.size() < kHeaderBytes) return std::nullopt;
  const std::size_t length = ReadLength(remaining.first(kHeaderBytes));
  if (length == 0) throw DecodeError(error_messages::kEmptyFrame);
  if (length > kMaxFrameBytes) {
    throw DecodeError(error_messages::kFrameTooLarge);
  }
  if (remaining.size() < kHeaderBytes + length) return std::nullopt;
  const auto payload = remaining.subspan(kHeaderBytes, length);
  consumed_ += kHeaderBytes + length;
  return std::vector<std::uint8_t>(payload.begin(), payload.end());
}

std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload) {
  std::vector<std::uint8_t> frame;
  frame.reserve(FrameDecoder::kHeaderBytes + payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<std::uint8_t>(payload.size() >> shift));
  }
  frame.insert(frame.end(), payload.begin(), payload.end());
  return frame;
}

}  // namespace carawayhaven
