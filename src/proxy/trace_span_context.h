#ifndef CARAWAYHAVEN_PROXY_TRACE_SPAN_CONTEXT_H_
#define CARAWAYHAVEN_PROXY_TRACE_SPAN_CONTEXT_H_

#include <opentracing/span.h>

#include <functional>
#include <memory>
#include <string>

#include "proxy/trace_context.h"

namespace carawayhaven {

/// Implements the OpenTracing interface for a TraceContext. Baggage is not
/// supported.
class TraceSpanContext : public opentracing::SpanContext {
 public:
  explicit TraceSpanContext(const TraceContext& context) : context_(context) {}

  const TraceContext& trace_context() const { return context_; }

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)> /*visit*/)
      const override {}
  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<TraceSpanContext>(context_);
  }
  std::string ToTraceID() const noexcept override {
    return context_.TraceIdText();
  }
  std::string ToSpanID() const noexcept override {
    return context_.SpanIdText();
  }

 private:
  TraceContext context_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_TRACE_SPAN_CONTEXT_H_
