#include "proxy/settings.h"

#include <string_view>

#include "proxy/settings_key.h"

namespace carawayhaven {

std::string LoadedSettings::Describe() const {
  const auto origin_of = [this](std::string_view key) {
    const auto found = origins.find(key);
    return found == origins.end() ? std::string("default") : found->second;
  };
  std::string text;
  for (const SettingsKey& key : SettingsKeys()) {
    text += std::string(key.name) + " = " + key.format(settings) + "  # " +
            origin_of(key.name) + '\n';
  }
  for (const auto& [team, token] : settings.admin_tokens) {
    const std::string key = "admin_tokens." + team;
    text += key + " = " + std::string(Secret::kPlaceholder) + "  # " +
            origin_of(key) + '\n';
  }
  return text;
}

}  // namespace carawayhaven
