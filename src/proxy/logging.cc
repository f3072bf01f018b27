#include "proxy/logging.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace carawayhaven {
namespace {

namespace log = boost::log;

using Sink = log::sinks::synchronous_sink<log::sinks::text_ostream_backend>;

constexpr char kSeverityAttribute[] = "Severity";
constexpr char kLineAttribute[] = "Line";

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count() %
      1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday, utc.tm_hour,
                utc.tm_min, utc.tm_sec, static_cast<int>(milliseconds));
  return text.data();
}

std::string FormatLine(LogLevel level, std::string_view event,
                       std::span<const LogField> fields) {
  nlohmann::ordered_json line;
  line["time"] = FormatTime(std::chrono::system_clock::now());
  line["level"] = LogLevelName(level);
  line["event"] = event;
  for (const LogField& field : fields) {
    std::string name(field.name);
    if (name == "time" || name == "level" || name == "event") name += '_';
    std::visit([&](const auto& value) { line[name] = value; }, field.value);
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

class LogSink::Impl {
 public:
  Impl(LogLevel min_level, std::ostream& out) {
    const auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
    backend->auto_flush(true);
    sink_ = boost::make_shared<Sink>(backend);
    sink_->set_filter(log::expressions::attr<LogLevel>(kSeverityAttribute) >=
                      min_level);
    sink_->set_formatter(
        log::expressions::stream
        << log::expressions::attr<std::string>(kLineAttribute));
    log::core::get()->add_sink(sink_);
  }

  ~Impl() {
    log::core::get()->remove_sink(sink_);
    sink_->flush();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

 private:
  boost::shared_ptr<Sink> sink_;
};

LogSink::LogSink(LogLevel min_level, std::ostream& out)
    : impl_(std::make_unique<Impl>(min_level, out)) {}

LogSink::~LogSink() = default;

void Log(LogLevel level, std::string_view event,
         std::span<const LogField> fields) {
  static log::sources::severity_logger_mt<LogLevel> logger;
  log::record record = logger.open_record(log::keywords::severity = level);
  if (!record) return;
  record.attribute_values().insert(
      kLineAttribute,
      log::attributes::make_attribute_value(FormatLine(level, event, fields)));
  logger.push_record(std::move(record));
}

}  // namespace carawayhaven
