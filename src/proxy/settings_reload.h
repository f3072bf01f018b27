#ifndef CARAWAYHAVEN_PROXY_SETTINGS_RELOAD_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_RELOAD_H_

#include <functional>
#include <string>
#include <vector>

#include "proxy/settings.h"

namespace carawayhaven {

/// Reads the settings again from the sources that were used at the start.
/// Throws SettingsError with every fault found.
using SettingsLoader = std::function<Settings()>;

/// The settings that a reload found changed.
struct SettingsChange {
  /// Keys whose new value is in force.
  std::vector<std::string> applied;
  /// Keys whose new value takes effect only after a restart.
  std::vector<std::string> needs_restart;
};

/// Copies from `loaded` the settings that may change while a session proxy
/// runs. Not thread-safe.
SettingsChange ApplyReload(const Settings& loaded, Settings& in_force);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_RELOAD_H_
