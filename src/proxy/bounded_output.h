#ifndef CARAWAYHAVEN_PROXY_BOUNDED_OUTPUT_H_
#define CARAWAYHAVEN_PROXY_BOUNDED_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace carawayhaven {

/// Buffers text for a file descriptor and writes it without blocking. A line
/// that does not fit into the buffer is dropped as a whole and counted. Not
/// thread-safe.
class BoundedOutput : public std::streambuf {
 public:
  static constexpr std::size_t kMaxBufferBytes = 256 * 1024;

  explicit BoundedOutput(int descriptor) : descriptor_(descriptor) {}

  /// Writes as much as the descriptor accepts without blocking.
  void Flush();

  std::size_t pending() const { return buffer_.size(); }
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize count) override;
  /// Does nothing: the log flushes its stream after each line, whereas the
  /// buffer is to be written at most once per round (event loop iteration),
  /// with Flush().
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
