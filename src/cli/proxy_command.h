#ifndef CARAWAYHAVEN_CLI_PROXY_COMMAND_H_
#define CARAWAYHAVEN_CLI_PROXY_COMMAND_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cli/command.h"
#include "proxy/settings.h"

namespace carawayhaven {

/// Runs a proxy until it is told to stop.
class ProxyCommand : public Command {
 public:
  /// Runs the proxy and returns the exit code of the process.
  using RunProxy = std::function<ExitCode(const Settings&)>;

  ProxyCommand(const CommandContext& context, RunProxy run_proxy);

 protected:
  ExitCode Execute() override;

 private:
  using TextArgument = TCLAP::ValueArg<std::string>;

  RunProxy run_proxy_;
  TextArgument file_;
  TCLAP::SwitchArg print_settings_;
  /// One for each key, in the order of SettingsKeys().
  std::vector<std::unique_ptr<TextArgument>> overrides_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_PROXY_COMMAND_H_
