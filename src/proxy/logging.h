#ifndef CARAWAYHAVEN_PROXY_LOGGING_H_
#define CARAWAYHAVEN_PROXY_LOGGING_H_

#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <span>
#include <string_view>

#include "proxy/log_field.h"
#include "proxy/log_level.h"

namespace carawayhaven {

/// Writes the log of the process for as long as the sink exists: one JSON
/// object per line, with `time` (UTC), `level`, `event` and the fields of the
/// event. Not thread-safe.
class LogSink {
 public:
  /// Writes the events with at least `min_level` to `out`, which must outlive
  /// the sink.
  LogSink(LogLevel min_level, std::ostream& out);
  ~LogSink();
  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

/// Logs an event to all sinks. Use it for changes of state only; what happens
/// with each request is counted instead (Metrics). A field named `time`,
/// `level` or `event` is written with an underscore appended to its name.
/// Thread-safe.
void Log(LogLevel level, std::string_view event,
         std::span<const LogField> fields);

inline void Log(LogLevel level, std::string_view event,
                std::initializer_list<LogField> fields = {}) {
  Log(level, event, std::span(fields.begin(), fields.size()));
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_LOGGING_H_
