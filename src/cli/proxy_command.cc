#include "cli/proxy_command.h"

#include <ostream>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "proxy/settings_key.h"
#include "proxy/settings_parser.h"

namespace carawayhaven {

ProxyCommand::ProxyCommand(const CommandContext& context, std::string name,
                           std::string summary, RunProxy run_proxy,
                           std::vector<std::string> required_keys)
    : Command(std::move(name), std::move(summary), context),
      run_proxy_(std::move(run_proxy)),
      required_keys_(std::move(required_keys)),
      file_("", "settings", "TOML file with the settings", true, "", "FILE",
            command_line()),
      print_settings_("", "print-settings",
                      "write the settings in force and where each came from, "
                      "then exit",
                      command_line()) {
  for (const SettingsKey& key : SettingsKeys()) {
    overrides_.push_back(std::make_unique<TextArgument>(
        "", key.FlagName(),
        std::string(key.description) + " (" + key.Expected() + ")", false, "",
        "VALUE", command_line()));
  }
}

std::optional<LoadedSettings> ProxyCommand::Load() {
  SettingsSources sources;
  sources.file_name = file_.getValue();
  const auto text = ReadFile(sources.file_name);
  if (!text) return std::nullopt;
  sources.text = *text;
  sources.environment = context().environment;
  for (std::size_t i = 0; i < overrides_.size(); ++i) {
    if (!overrides_[i]->isSet()) continue;
    sources.flags[std::string(SettingsKeys()[i].name)] =
        overrides_[i]->getValue();
  }
  return SettingsParser::Parse(sources);
}

ExitCode ProxyCommand::Execute() {
  try {
    const std::optional<LoadedSettings> loaded = Load();
    if (!loaded) return kExitUsage;
    if (print_settings_.getValue()) {
      out() << loaded->Describe();
      return kExitOk;
    }
    if (!CheckRequiredKeys(*loaded)) return kExitRefused;
    return run_proxy_(loaded->settings, [this] {
      const std::optional<LoadedSettings> reloaded = Load();
      if (!reloaded) {
        throw SettingsError(
            {{file_.getValue(), {}, error_messages::kUnreadableSettings}});
      }
      return reloaded->settings;
    });
  } catch (const SettingsError& error) {
    err() << error.what() << '\n';
    return kExitRefused;
  }
}

bool ProxyCommand::CheckRequiredKeys(const LoadedSettings& loaded) const {
  bool complete = true;
  for (const std::string& key : required_keys_) {
    if (loaded.origins.contains(key)) continue;
    complete = false;
    err() << file_.getValue() << ": missing key '" << key << "'\n";
  }
  return complete;
}

}  // namespace carawayhaven
