#include "proxy/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace carawayhaven {

BoundedOutput::int_type BoundedOutput::overflow(int_type character) {
  if (traits_type::eq_int_type(character, traits_type::eof())) {
    return traits_type::not_eof(character);
  }
  const char c = traits_type::to_char_type(character);
  xsputn(&c, 1);
  return character;
}

std::streamsize BoundedOutput::xsputn(const char* text, std::streamsize count) {
  const std::string_view all(text, static_cast<std::size_t>(count));
  std::size_t start = 0;
  for (std::size_t end = all.find('\n'); end != std::string_view::npos;
       end = all.find('\n', start)) {
    line_ += all.substr(start, end + 1 - start);
    EndLine();
    start = end + 1;
  }
  line_ += all.substr(start);
  return count;
}

void BoundedOutput::EndLine() {
  if (buffer_.size() + line_.size() > kMaxBufferBytes) {
    ++dropped_lines_;
  } else {
    buffer_ += line_;
  }
  line_.clear();
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
void BoundedOutput::Flush() {
  while (!buffer_.empty()) {
    pollfd descriptor{descriptor_, POLLOUT, 0};
    if (poll(&descriptor, 1, 0) <= 0 || (descriptor.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written =
        write(descriptor_, buffer_.data(),
              std::min<std::size_t>(buffer_.size(), PIPE_BUF));
    if (written <= 0) return;
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace carawayhaven
