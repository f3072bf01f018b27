#ifndef CARAWAYHAVEN_CLI_PROXY_COMMAND_H_
#define CARAWAYHAVEN_CLI_PROXY_COMMAND_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.h"
#include "proxy/settings.h"
#include "proxy/settings_reload.h"

namespace carawayhaven {

/// Runs a proxy with the settings of a TOML file, the environment and flags.
class ProxyCommand : public Command {
 public:
  /// Runs the proxy until it is stopped and returns the exit code of the
  /// process. The loader reads the settings again and throws SettingsError when
  /// they are unreadable or invalid.
  using RunProxy =
      std::function<ExitCode(const Settings&, const SettingsLoader&)>;

  /// `required_keys` are required in addition to the keys that every proxy
  /// requires.
  ProxyCommand(const CommandContext& context, std::string name,
               std::string summary, RunProxy run_proxy,
               std::vector<std::string> required_keys = {});

 protected:
  ExitCode Execute() override;

 private:
  using TextArgument = TCLAP::ValueArg<std::string>;

  /// Reads the settings from the file, the environment and the flags. Returns
  /// std::nullopt if the file cannot be read; throws SettingsError if they are
  /// invalid.
  std::optional<LoadedSettings> Load();
  /// Returns whether all `required_keys_` have a value; writes an error for
  /// each key without one.
  bool CheckRequiredKeys(const LoadedSettings& loaded) const;

  RunProxy run_proxy_;
  std::vector<std::string> required_keys_;
  TextArgument file_;
  TCLAP::SwitchArg print_settings_;
  /// One flag per settings key, in the order of SettingsKeys().
  std::vector<std::unique_ptr<TextArgument>> overrides_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_PROXY_COMMAND_H_
