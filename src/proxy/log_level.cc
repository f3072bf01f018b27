#include "proxy/log_level.h"

namespace carawayhaven {

std::string_view LogLevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (LogLevelName(level) == name) return level;
  }
  return std::nullopt;
}

}  // namespace carawayhaven
