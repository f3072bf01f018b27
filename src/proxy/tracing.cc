#include "proxy/tracing.h"

#include <algorithm>
#include <cctype>
#include <exception>
#include <istream>
#include <optional>
#include <ostream>
#include <utility>

#include "proxy/span_sink.h"
#include "proxy/trace_span.h"

namespace carawayhaven {
namespace {

using opentracing::expected;
using opentracing::make_unexpected;

using ExtractResult = expected<std::unique_ptr<opentracing::SpanContext>>;

constexpr std::string_view kTraceparent = "traceparent";
// Maximum number of bytes read from a stream; a later version of the header may
// be longer than 55 bytes.
constexpr std::size_t kMaxTraceparentBytes = 512;

bool EqualsIgnoringCase(opentracing::string_view a, std::string_view b) {
  return std::equal(a.data(), a.data() + a.size(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

const TraceContext* ContextOf(const opentracing::SpanContext& context) {
  const auto* own = dynamic_cast<const TraceSpanContext*>(&context);
  return own == nullptr ? nullptr : &own->trace_context();
}

ExtractResult ToSpanContext(std::string_view text) {
  const std::optional<TraceContext> context = TraceContext::Parse(text);
  if (!context) {
    return make_unexpected(opentracing::span_context_corrupted_error);
  }
  return std::unique_ptr<opentracing::SpanContext>(
      std::make_unique<TraceSpanContext>(*context));
}

}  // namespace

Tracing::Tracing(double sample_ratio, SpanSink& sink, std::mt19937_64& random)
    : sample_ratio_(sample_ratio), sink_(sink), random_(random) {}

std::unique_ptr<opentracing::Span> Tracing::StartRequest(
    std::string_view operation, std::string_view traceparent) const {
  const auto parent = TraceContext::Parse(traceparent);
  TraceContext context = parent ? *parent : NewTrace();
  context.span_id = NewId();
  return std::make_unique<TraceSpan>(
      *this, context, parent ? parent->span_id : 0, std::string(operation),
      opentracing::StartSpanOptions());
}

std::unique_ptr<opentracing::Span> Tracing::StartHop(
    std::string_view operation, std::string_view traceparent) const {
  if (TraceContext::Parse(traceparent)) {
    return StartRequest(operation, traceparent);
  }
  TraceContext context = NewTrace();
  context.sampled = false;
  return std::make_unique<TraceSpan>(*this, context, 0, std::string(operation),
                                     opentracing::StartSpanOptions());
}

std::string Tracing::TraceparentOf(const opentracing::Span& span) {
  const TraceContext* context = ContextOf(span.context());
  if (context == nullptr || !context->sampled) return {};
  return context->Format();
}

std::unique_ptr<opentracing::Span> Tracing::StartSpanWithOptions(
    opentracing::string_view operation,
    const opentracing::StartSpanOptions& options) const noexcept {
  try {
    const TraceContext* parent = nullptr;
    for (const auto& reference : options.references) {
      if (parent == nullptr && reference.second != nullptr) {
        parent = ContextOf(*reference.second);
      }
    }
    TraceContext context = parent != nullptr ? *parent : NewTrace();
    context.span_id = NewId();
    return std::make_unique<TraceSpan>(
        *this, context, parent != nullptr ? parent->span_id : 0,
        std::string{operation.data(), operation.size()}, options);
  } catch (const std::exception&) {
    // The OpenTracing interface requires null when a span cannot be created.
    return nullptr;
  }
}

expected<void> Tracing::Inject(const opentracing::SpanContext& context,
                               std::ostream& writer) const {
  const TraceContext* own = ContextOf(context);
  if (own == nullptr) {
    return make_unexpected(opentracing::invalid_span_context_error);
  }
  writer << own->Format();
  return {};
}

expected<void> Tracing::Inject(const opentracing::SpanContext& context,
                               const opentracing::TextMapWriter& writer) const {
  const TraceContext* own = ContextOf(context);
  if (own == nullptr) {
    return make_unexpected(opentracing::invalid_span_context_error);
  }
  return writer.Set({kTraceparent.data(), kTraceparent.size()}, own->Format());
}

expected<void> Tracing::Inject(
    const opentracing::SpanContext& context,
    const opentracing::HTTPHeadersWriter& writer) const {
  return Inject(context,
                static_cast<const opentracing::TextMapWriter&>(writer));
}

ExtractResult Tracing::Extract(std::istream& reader) const {
  std::string text;
  for (char c = 0; text.size() < kMaxTraceparentBytes && reader.get(c);) {
    text += c;
  }
  if (text.empty()) return std::unique_ptr<opentracing::SpanContext>();
  return ToSpanContext(text);
}

ExtractResult Tracing::Extract(const opentracing::TextMapReader& reader) const {
  std::optional<std::string> found;
  const expected<void> read = reader.ForeachKey(
      [&found](opentracing::string_view key,
               opentracing::string_view value) -> expected<void> {
        if (EqualsIgnoringCase(key, kTraceparent)) {
          found.emplace(value.data(), value.size());
        }
        return {};
      });
  if (!read) return make_unexpected(read.error());
  if (!found) return std::unique_ptr<opentracing::SpanContext>();
  return ToSpanContext(*found);
}

ExtractResult Tracing::Extract(
    const opentracing::HTTPHeadersReader& reader) const {
  return Extract(static_cast<const opentracing::TextMapReader&>(reader));
}

// StartRequest and StartSpanWithOptions replace the span id; StartHop uses it
// as it is, so it must not be zero.
TraceContext Tracing::NewTrace() const {
  TraceContext context{NewId(), NewId(), NewId(), false};
  context.sampled = IsSampled(context, sample_ratio_);
  return context;
}

std::uint64_t Tracing::NewId() const {
  for (;;) {
    if (const std::uint64_t id = random_(); id != 0) return id;
  }
}

void Tracing::Write(std::string_view line) const noexcept {
  if (closed_) return;
  try {
    sink_.Write(line);
  } catch (const std::exception&) {
    CountDropped();
  }
}

}  // namespace carawayhaven
