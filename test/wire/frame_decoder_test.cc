#include "wire/frame_decoder.h"

#include <gtest/gtest.h>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using Bytes = std::vector<std::uint8_t>;

// Guards against a frame that is lost or truncated if its bytes arrive in
// parts.
TEST(FrameDecoder, StreamSplitAtAnyByteGivesTheSameFrames) {
  const std::vector<Bytes> frames = {{1}, {2, 3, 4}, Bytes(300, 5)};
  Bytes stream;
  for (const Bytes& frame : frames) {
    const Bytes encoded = EncodeFrame(frame);
    stream.insert(stream.end(), encoded.begin(), encoded.end());
  }
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    FrameDecoder decoder;
    std::vector<Bytes> decoded;
    for (const auto part :
         {std::span(stream).first(split), std::span(stream).subspan(split)}) {
      decoder.Append(part);
      while (auto frame = decoder.Next()) decoded.push_back(std::move(*frame));
    }
    ASSERT_EQ(decoded, frames) << "split at " << split;
  }
}

// Guards against buffering for a frame whose announced length exceeds the
// limit.
TEST(FrameDecoder, LengthsOutsideTheLimitsAreRefused) {
  const struct {
    Bytes header;
    bool refused;
  } cases[] = {{{0, 0, 0, 0}, true},         {{0, 0, 0, 1}, false},
               {{0, 16, 0, 0}, false},       {{0, 16, 0, 1}, true},
               {{255, 255, 255, 255}, true}, {{0, 0, 0}, false}};
  for (const auto& entry : cases) {
    FrameDecoder decoder;
    decoder.Append(entry.header);
    if (entry.refused) {
      EXPECT_THROW(decoder.Next(), DecodeError);
    } else {
      EXPECT_EQ(decoder.Next(), std::nullopt);
    }
  }
}

TEST(FrameDecoder, FrameOfMaximumSizeIsReturned) {
  const Bytes largest(FrameDecoder::kMaxFrameBytes, 9);
  FrameDecoder decoder;
  decoder.Append(EncodeFrame(largest));
  EXPECT_EQ(decoder.Next(), largest);
}

}  // namespace
}  // namespace carawayhaven
