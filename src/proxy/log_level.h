#ifndef CARAWAYHAVEN_PROXY_LOG_LEVEL_H_
#define CARAWAYHAVEN_PROXY_LOG_LEVEL_H_

#include <optional>
#include <string_view>

namespace carawayhaven {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Returns "debug", "info", "warning" or "error".
std::string_view LogLevelName(LogLevel level);

/// Returns the level with that name, or nothing.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_LOG_LEVEL_H_
