#ifndef CARAWAYHAVEN_PROXY_SETTINGS_RELOAD_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_RELOAD_H_

#include <functional>
#include <string>
#include <vector>

#include "proxy/settings.h"

namespace carawayhaven {

/// Reads the settings anew from where they came from at the start. Throws
/// SettingsError with every fault found.
using SettingsLoader = std::function<Settings()>;

/// What a reload of the settings found.
struct SettingsChange {
  /// Keys whose new value is in force from now on.
  std::vector<std::string> applied;
  /// Keys whose new value counts from the next start.
  std::vector<std::string> needs_restart;
};

/// Takes over from `read` what may change while a session proxy runs. Not
/// thread-safe.
SettingsChange ApplyReload(const Settings& read, Settings& in_force);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_RELOAD_H_
