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

/// Runs a proxy until it is told to stop.
class ProxyCommand : public Command {
 public:
  /// Runs the proxy and returns the exit code of the process.
  using RunProxy =
      std::function<ExitCode(const Settings&, const SettingsLoader&)>;

  /// `needed` are keys that this command requires beside the required ones.
  ProxyCommand(const CommandContext& context, std::string name,
               std::string summary, RunProxy run_proxy,
               std::vector<std::string> needed = {});

 protected:
  ExitCode Execute() override;

 private:
  using TextArgument = TCLAP::ValueArg<std::string>;

  /// Reads the file, the environment and the flags; nothing without a file.
  std::optional<LoadedSettings> Load();
  /// Writes an error for each needed key without a value.
  bool CheckNeeded(const LoadedSettings& loaded) const;

  RunProxy run_proxy_;
  std::vector<std::string> needed_;
  TextArgument file_;
  TCLAP::SwitchArg print_settings_;
  /// One for each key, in the order of SettingsKeys().
  std::vector<std::unique_ptr<TextArgument>> overrides_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_PROXY_COMMAND_H_
