#ifndef CARAWAYHAVEN_PROXY_SETTINGS_KEY_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_KEY_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "proxy/settings.h"

namespace carawayhaven {

/// Value of a key before it is validated.
using SettingsValue = std::variant<std::string, std::int64_t, double, bool>;

enum class SettingsType {
  kName,
  kAddress,
  kInteger,
  kNumber,
  kRatio,
  kBool,
  kLogLevel
};

/// A settings key with a single value; all keys except `admin_tokens`.
struct SettingsKey {
  std::string_view name;
  SettingsType type = SettingsType::kName;
  /// A required key has no default.
  bool required = false;
  /// Inclusive bounds of kInteger and kNumber.
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
  std::string_view description;
  /// Stores a value that Accepts() has accepted.
  void (*store)(Settings& settings, const SettingsValue& value) = nullptr;
  /// Returns the value in TOML form.
  std::string (*format)(const Settings& settings) = nullptr;

  /// Returns the name of the environment variable: "CARAWAYHAVEN_" and the name
  /// in upper case.
  std::string VariableName() const;
  /// Returns the name of the flag with hyphens, without the leading "--".
  std::string FlagName() const;
  /// Describes the accepted values, for error messages.
  std::string Expected() const;
  /// True when the value has the right type, form and range.
  bool Accepts(const SettingsValue& value) const;
};

/// Returns all keys in the order in which they are documented.
std::span<const SettingsKey> SettingsKeys();

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_KEY_H_
