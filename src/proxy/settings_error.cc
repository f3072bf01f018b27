#include "proxy/settings_error.h"

#include <utility>

namespace carawayhaven {
namespace {

std::string JoinLines(const std::vector<SettingsFault>& faults) {
  std::string text;
  for (const SettingsFault& fault : faults) {
    if (!text.empty()) text += '\n';
    text += fault.Format();
  }
  return text;
}

}  // namespace

std::string SettingsFault::Format() const {
  std::string text = source;
  if (position.line != 0) {
    text += ':' + std::to_string(position.line) + ':' +
            std::to_string(position.column);
  }
  return text + ": " + message;
}

SettingsError::SettingsError(std::vector<SettingsFault> faults)
    : Error(JoinLines(faults)), faults_(std::move(faults)) {}

}  // namespace carawayhaven
