#include "cli/proxy_command.h"

#include <ostream>
#include <utility>

#include "proxy/settings_key.h"
#include "proxy/settings_parser.h"

namespace carawayhaven {

ProxyCommand::ProxyCommand(const CommandContext& context, RunProxy run_proxy)
    : Command("proxy", "runs a proxy", context),
      run_proxy_(std::move(run_proxy)),
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

ExitCode ProxyCommand::Execute() {
  SettingsSources sources;
  sources.file_name = file_.getValue();
  const auto text = ReadFile(sources.file_name);
  if (!text) return kExitUsage;
  sources.text = *text;
  sources.environment = context().environment;
  for (std::size_t i = 0; i < overrides_.size(); ++i) {
    if (!overrides_[i]->isSet()) continue;
    sources.flags[std::string(SettingsKeys()[i].name)] =
        overrides_[i]->getValue();
  }
  try {
    const LoadedSettings loaded = SettingsParser::Parse(sources);
    if (print_settings_.getValue()) {
      out() << loaded.Describe();
      return kExitOk;
    }
    return run_proxy_(loaded.settings);
  } catch (const SettingsError& error) {
    err() << error.what() << '\n';
    return kExitRefused;
  }
}

}  // namespace carawayhaven
