#include "proxy/settings_reload.h"

#include <string_view>

#include "proxy/settings_key.h"

namespace carawayhaven {
namespace {

constexpr std::string_view kGraceKey = "shutdown_grace_s";

}  // namespace

SettingsChange ApplyReload(const Settings& loaded, Settings& in_force) {
  SettingsChange change;
  for (const SettingsKey& key : SettingsKeys()) {
    if (key.format(loaded) == key.format(in_force)) continue;
    const bool applies = key.name == kGraceKey;
    (applies ? change.applied : change.needs_restart).emplace_back(key.name);
  }
  in_force.shutdown_grace = loaded.shutdown_grace;
  return change;
}

}  // namespace carawayhaven
