#ifndef CARAWAYHAVEN_PROXY_TRACE_SPAN_H_
#define CARAWAYHAVEN_PROXY_TRACE_SPAN_H_

#include <opentracing/span.h>
#include <opentracing/tracer.h>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "proxy/trace_span_context.h"

namespace carawayhaven {

class Tracing;

/// A span. It is finished at the latest when it is destroyed. Not thread-safe.
class TraceSpan : public opentracing::Span {
 public:
  /// Tags and log records beyond this number are dropped.
  static constexpr std::size_t kMaxTags = 16;
  static constexpr std::size_t kMaxLogs = 16;

  /// `parent_id` is zero for the first span of a trace. `tracer` must outlive
  /// the span.
  TraceSpan(const Tracing& tracer, const TraceContext& context,
            std::uint64_t parent_id, std::string operation,
            const opentracing::StartSpanOptions& options);
  ~TraceSpan() override;
  TraceSpan(const TraceSpan&) = delete;
  TraceSpan& operator=(const TraceSpan&) = delete;

  void FinishWithOptions(
      const opentracing::FinishSpanOptions& options) noexcept override;
  void SetOperationName(opentracing::string_view name) noexcept override;
  void SetTag(opentracing::string_view key,
              const opentracing::Value& value) noexcept override;
  /// Baggage is not supported; does nothing.
  void SetBaggageItem(opentracing::string_view /*key*/,
                      opentracing::string_view /*value*/) noexcept override {}
  std::string BaggageItem(
      opentracing::string_view /*key*/) const noexcept override {
    return {};
  }
  void Log(std::initializer_list<
           std::pair<opentracing::string_view, opentracing::Value>>
               fields) noexcept override;
  void Log(opentracing::SystemTime timestamp,
           std::initializer_list<
               std::pair<opentracing::string_view, opentracing::Value>>
               fields) noexcept override;
  void Log(opentracing::SystemTime timestamp,
           const std::vector<
               std::pair<opentracing::string_view, opentracing::Value>>&
               fields) noexcept override;
  const opentracing::SpanContext& context() const noexcept override {
    return context_;
  }
  const opentracing::Tracer& tracer() const noexcept override;

 private:
  bool recording() const {
    return context_.trace_context().sampled && !finished_;
  }

  const Tracing& tracer_;
  TraceSpanContext context_;
  std::uint64_t parent_id_;
  std::string operation_;
  opentracing::SystemTime start_time_;
  opentracing::SteadyTime steady_start_;
  nlohmann::json tags_ = nlohmann::json::object();
  nlohmann::json logs_ = nlohmann::json::array();
  bool finished_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_TRACE_SPAN_H_
