#include "proxy/trace_span.h"

#include <chrono>
#include <exception>

#include "proxy/tracing.h"

namespace carawayhaven {
namespace {

using opentracing::string_view;
using opentracing::Value;

std::int64_t Microseconds(auto duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

struct ValueToJson {
  nlohmann::json operator()(const auto& value) const { return value; }
  nlohmann::json operator()(std::nullptr_t) const { return nullptr; }
  nlohmann::json operator()(string_view text) const {
    return nlohmann::json(std::string{text.data(), text.size()});
  }
  nlohmann::json operator()(const char* text) const {
    return text == nullptr ? nlohmann::json() : nlohmann::json(text);
  }
  nlohmann::json operator()(const opentracing::Values& values) const {
    nlohmann::json array = nlohmann::json::array();
    for (const Value& value : values) array.push_back(Convert(value));
    return array;
  }
  nlohmann::json operator()(const opentracing::Dictionary& values) const {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : values) object[key] = Convert(value);
    return object;
  }

  static nlohmann::json Convert(const Value& value) {
    return opentracing::util::apply_visitor(ValueToJson(), value);
  }
};

nlohmann::json FieldsToJson(opentracing::SystemTime timestamp,
                            const auto& fields) {
  nlohmann::json record = nlohmann::json::object();
  for (const auto& [key, value] : fields) {
    record[std::string{key.data(), key.size()}] = ValueToJson::Convert(value);
  }
  record["time_us"] = Microseconds(timestamp.time_since_epoch());
  return record;
}

}  // namespace

TraceSpan::TraceSpan(const Tracing& tracer, const TraceContext& context,
                     std::uint64_t parent_id, std::string operation,
                     const opentracing::StartSpanOptions& options)
    : tracer_(tracer),
      context_(context),
      parent_id_(parent_id),
      operation_(std::move(operation)),
      start_time_(options.start_system_timestamp),
      steady_start_(options.start_steady_timestamp) {
  if (start_time_ == opentracing::SystemTime()) {
    start_time_ = opentracing::SystemClock::now();
  }
  if (steady_start_ == opentracing::SteadyTime()) {
    steady_start_ = opentracing::SteadyClock::now();
  }
  for (const auto& [key, value] : options.tags) {
    if (recording() && tags_.size() < kMaxTags) {
      tags_[key] = ValueToJson::Convert(value);
    }
  }
}

TraceSpan::~TraceSpan() {
  if (!finished_) Finish();
}

void TraceSpan::FinishWithOptions(
    const opentracing::FinishSpanOptions& options) noexcept {
  if (!recording()) {
    finished_ = true;
    return;
  }
  finished_ = true;
  try {
    for (const opentracing::LogRecord& record : options.log_records) {
      if (logs_.size() >= kMaxLogs) break;
      logs_.push_back(FieldsToJson(record.timestamp, record.fields));
    }
    nlohmann::ordered_json line;
    line["trace_id"] = context_.ToTraceID();
    line["span_id"] = context_.ToSpanID();
    if (parent_id_ != 0) {
      TraceContext parent;
      parent.span_id = parent_id_;
      line["parent_id"] = parent.SpanIdText();
    }
    line["operation"] = operation_;
    line["start_us"] = Microseconds(start_time_.time_since_epoch());
    line["duration_us"] =
        Microseconds(options.finish_steady_timestamp - steady_start_);
    line["tags"] = tags_;
    if (!logs_.empty()) line["logs"] = logs_;
    tracer_.Write(line.dump(-1, ' ', false,
                            nlohmann::ordered_json::error_handler_t::replace));
  } catch (const std::exception&) {
    tracer_.CountDropped();
  }
}

void TraceSpan::SetOperationName(string_view name) noexcept {
  try {
    if (!finished_) operation_ = name;
  } catch (const std::exception&) {
    tracer_.CountDropped();
  }
}

void TraceSpan::SetTag(string_view key, const Value& value) noexcept {
  try {
    const std::string name(key);
    if (!recording()) return;
    if (tags_.size() >= kMaxTags && !tags_.contains(name)) return;
    tags_[name] = ValueToJson::Convert(value);
  } catch (const std::exception&) {
    tracer_.CountDropped();
  }
}

void TraceSpan::Log(
    std::initializer_list<std::pair<string_view, Value>> fields) noexcept {
  Log(opentracing::SystemClock::now(), fields);
}

void TraceSpan::Log(
    opentracing::SystemTime timestamp,
    std::initializer_list<std::pair<string_view, Value>> fields) noexcept {
  try {
    if (!recording() || logs_.size() >= kMaxLogs) return;
    logs_.push_back(FieldsToJson(timestamp, fields));
  } catch (const std::exception&) {
    tracer_.CountDropped();
  }
}

void TraceSpan::Log(
    opentracing::SystemTime timestamp,
    const std::vector<std::pair<string_view, Value>>& fields) noexcept {
  try {
    if (!recording() || logs_.size() >= kMaxLogs) return;
    logs_.push_back(FieldsToJson(timestamp, fields));
  } catch (const std::exception&) {
    tracer_.CountDropped();
  }
}

const opentracing::Tracer& TraceSpan::tracer() const noexcept {
  return tracer_;
}

}  // namespace carawayhaven
