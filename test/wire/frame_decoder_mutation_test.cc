#include <gtest/gtest.h>

#include <optional>
#include <random>

#include "carawayhaven/exceptions.h"
#include "fuzz_loop.h"
#include "wire/frame_decoder.h"

namespace carawayhaven {
namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'261;

struct Decoded {
  std::vector<Bytes> frames;
  bool failed = false;

  friend bool operator==(const Decoded&, const Decoded&) = default;
};

// Decodes the stream in pieces of random length, or in one piece if `random` is
// null.
Decoded Decode(const Bytes& stream, std::mt19937_64* random) {
  FrameDecoder decoder;
  Decoded result;
  std::size_t at = 0;
  do {
    const std::size_t remaining = stream.size() - at;
    const std::size_t size = random == nullptr || remaining == 0
                                 ? remaining
                                 : 1 + (*random)() % remaining;
    decoder.Append(std::span(stream).subspan(at, size));
    at += size;
    try {
      while (std::optional<Bytes> frame = decoder.Next()) {
        result.frames.push_back(std::move(*frame));
      }
    } catch (const DecodeError&) {
      result.failed = true;
      return result;
    }
  } while (at < stream.size());
  return result;
}

// Guards against a crash, an exception other than DecodeError, a frame that is
// not part of the stream, and a result that depends on how the stream is split.
TEST(FrameDecoderMutations, AnyStreamDecodesToItsOwnFramesInAnyPieces) {
  std::mt19937_64 pieces(kRandomSeed);
  RunFuzzLoop(
      "test/wire/corpus", kIterations, kRandomSeed,
      [&pieces](const std::string& text) {
        const Bytes stream(text.begin(), text.end());
        const Decoded decoded = Decode(stream, nullptr);
        ASSERT_EQ(decoded, Decode(stream, &pieces));
        Bytes encoded;
        for (const Bytes& frame : decoded.frames) {
          const Bytes part = EncodeFrame(frame);
          encoded.insert(encoded.end(), part.begin(), part.end());
        }
        ASSERT_LE(encoded.size(), stream.size());
        ASSERT_TRUE(std::equal(encoded.begin(), encoded.end(), stream.begin()));
      });
}

}  // namespace
}  // namespace carawayhaven
