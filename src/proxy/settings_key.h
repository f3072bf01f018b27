#ifndef CARAWAYHAVEN_PROXY_SETTINGS_KEY_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_KEY_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "proxy/settings.h"

namespace carawayhaven {

/// Value of one key before it is checked.
using SettingsValue = std::variant<std::string, std::int64_t, double>;

enum class SettingsType {
  kName,
  kAddress,
  kInteger,
  kSeconds,
  kRatio,
  kLogLevel
};

/// A key of the settings that holds one value. All keys but `admin_tokens`.
struct SettingsKey {
  std::string_view name;
  SettingsType type = SettingsType::kName;
  /// A required key has no default.
  bool required = false;
  /// Bounds of an integer.
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
  std::string_view description;
  /// Stores a value that was checked already.
  void (*store)(Settings& settings, const SettingsValue& value) = nullptr;
  /// Returns the value in TOML form.
  std::string (*format)(const Settings& settings) = nullptr;

  /// Returns "CARAWAYHAVEN_" and the name in capitals.
  std::string VariableName() const;
  /// Returns the name with hyphens, without the leading "--".
  std::string FlagName() const;
  /// Says which values are right, for error messages.
  std::string Expected() const;
  /// True when the value has the right type, form and range.
  bool Accepts(const SettingsValue& value) const;
};

/// Returns all keys in the order in which they are documented.
std::span<const SettingsKey> SettingsKeys();

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_KEY_H_
