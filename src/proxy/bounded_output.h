#ifndef CARAWAYHAVEN_PROXY_BOUNDED_OUTPUT_H_
#define CARAWAYHAVEN_PROXY_BOUNDED_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace carawayhaven {

/// Collects text for a file descriptor and writes it without ever blocking.
/// What does not fit the buffer is dropped by whole lines and counted. Not
/// thread-safe.
class BoundedOutput : public std::streambuf {
 public:
  static constexpr std::size_t kMaxBufferBytes = 256 * 1024;

  explicit BoundedOutput(int descriptor) : descriptor_(descriptor) {}

  /// Writes as much as the descriptor takes at once.
  void Flush();

  std::size_t pending() const { return buffer_.size(); }
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize count) override;
  /// The log flushes after each line; the loop flushes after each round.
  int sync() override { return 0; }

 private:
  void EndLine();

  int descriptor_;
  std::string buffer_;
  std::string line_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_BOUNDED_OUTPUT_H_
