#ifndef CARAWAYHAVEN_CORE_CONFIG_TEAM_CONFIG_PARSER_H_
#define CARAWAYHAVEN_CORE_CONFIG_TEAM_CONFIG_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/exceptions.h"
#include "core/config/team_config.h"

namespace carawayhaven {

/// An error in a team's text.
struct ConfigError {
  TextPosition position;
  std::string message;

  /// Returns "line L, column C: message", or the message alone when the error
  /// has no position in the text.
  std::string Format() const;
};

/// Either a configuration or at least one error.
struct TeamConfigResult {
  std::optional<TeamConfig> config;
  std::vector<ConfigError> errors;
};

/// Parses a team's TOML text. Stateless and thread-safe.
class TeamConfigParser {
 public:
  /// The store accepts values up to 1 MB. JSON escapes at most double the text,
  /// because TOML forbids the control characters that need longer escapes.
  static constexpr std::size_t kMaxTextBytes = 256 * 1024;
  static constexpr std::size_t kMaxServices = 512;
  /// An acknowledged write is stored on the primary and one replica. With five
  /// endpoints a majority of three without that write could be fenced and one
  /// of them promoted.
  static constexpr std::size_t kMaxEndpoints = 4;
  static constexpr std::size_t kMaxNameLength = 64;
  static constexpr std::uint32_t kMaxSlots = 1024;
  static constexpr std::uint32_t kMaxConnections = 10'000;
  /// Connections that a pool leaves free: 3 for monitors and 1 for a new pool
  /// owner.
  static constexpr std::uint32_t kReservedConnections = 4;

  /// Returns the configuration, or all errors in order of their position. A
  /// syntax error ends the parsing and is the only error reported. Does not
  /// throw for an invalid text.
  static TeamConfigResult Parse(std::string_view text);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_TEAM_CONFIG_PARSER_H_
