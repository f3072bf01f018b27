#ifndef CARAWAYHAVEN_PROXY_TRACE_CONTEXT_H_
#define CARAWAYHAVEN_PROXY_TRACE_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayhaven {

/// Identifies a span across processes, as the W3C `traceparent` header does.
struct TraceContext {
  std::uint64_t trace_id_high = 0;
  std::uint64_t trace_id_low = 0;
  std::uint64_t span_id = 0;
  bool sampled = false;

  /// Parses a `traceparent` of version 00, or the known part of a later
  /// version. Returns nothing when it is malformed or an id is zero.
  static std::optional<TraceContext> Parse(std::string_view text);

  /// Returns the `traceparent` of version 00.
  std::string Format() const;

  std::string TraceIdText() const;
  std::string SpanIdText() const;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Decides whether a new trace is recorded. Depends on the trace id alone, so
/// that all proxies with the same ratio make the same decision.
bool IsSampled(const TraceContext& context, double ratio);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_TRACE_CONTEXT_H_
