#ifndef CARAWAYHAVEN_PROXY_TRACING_H_
#define CARAWAYHAVEN_PROXY_TRACING_H_

#include <opentracing/tracer.h>

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "proxy/trace_context.h"

namespace carawayhaven {

class SpanSink;

/// Operation names of the spans of a request, one per hop.
inline constexpr char kRouterSpan[] = "front";
inline constexpr char kForwardSpan[] = "forward";
inline constexpr char kQueueSpan[] = "queue";
inline constexpr char kEndpointSpan[] = "endpoint";

/// Tracer of the process; implements the OpenTracing interface. Spans of
/// sampled traces are written to the sink when they finish; other spans only
/// propagate their context. Not thread-safe. Must outlive its spans.
class Tracing : public opentracing::Tracer {
 public:
  /// `sink` and `random` must outlive the tracer. `sample_ratio` is from 0 to 1
  /// and applies to traces that start in this process.
  Tracing(double sample_ratio, SpanSink& sink, std::mt19937_64& random);

  /// Starts the span of a request that a caller sent. Continues the caller's
  /// trace with its sampling decision; when `traceparent` is empty or
  /// malformed, a new trace starts.
  std::unique_ptr<opentracing::Span> StartRequest(
      std::string_view operation, std::string_view traceparent) const;

  /// Starts the span of a later hop. Never starts a recorded trace: when
  /// `traceparent` is empty or malformed, the span is not sampled.
  std::unique_ptr<opentracing::Span> StartHop(
      std::string_view operation, std::string_view traceparent) const;

  /// Returns the `traceparent` for the next hop, empty when the trace is not
  /// sampled (Request::traceparent).
  static std::string TraceparentOf(const opentracing::Span& span);

  /// Number of spans or parts of spans that were lost.
  std::uint64_t dropped_spans() const { return dropped_spans_; }

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view operation,
      const opentracing::StartSpanOptions& options) const noexcept override;

  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     std::ostream& writer) const override;
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::TextMapWriter& writer) const override;
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::HTTPHeadersWriter& writer) const override;

  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      std::istream& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& reader) const override;

  /// Spans that finish later are not written.
  void Close() noexcept override { closed_ = true; }

 private:
  friend class TraceSpan;

  TraceContext NewTrace() const;
  std::uint64_t NewId() const;
  void Write(std::string_view line) const noexcept;
  void CountDropped() const noexcept { ++dropped_spans_; }

  double sample_ratio_;
  SpanSink& sink_;
  std::mt19937_64& random_;
  bool closed_ = false;
  mutable std::uint64_t dropped_spans_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_TRACING_H_
