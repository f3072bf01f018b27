#ifndef CARAWAYHAVEN_PROXY_SPAN_SINK_H_
#define CARAWAYHAVEN_PROXY_SPAN_SINK_H_

#include <ostream>
#include <string_view>

namespace carawayhaven {

/// Destination of finished spans.
class SpanSink {
 public:
  virtual ~SpanSink() = default;

  /// `line` is one JSON object without a newline. May throw; the span is then
  /// counted as dropped.
  virtual void Write(std::string_view line) = 0;
};

/// Writes spans to a stream, one per line. Each line is flushed: a buffer that
/// is written only when it is full can end in the middle of a line, and a log
/// line would follow there when both streams go to one file.
class StreamSpanSink : public SpanSink {
 public:
  /// `out` must outlive the sink.
  explicit StreamSpanSink(std::ostream& out) : out_(out) {}

  void Write(std::string_view line) override {
    out_ << line << '\n' << std::flush;
  }

 private:
  std::ostream& out_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SPAN_SINK_H_
