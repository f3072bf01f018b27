#ifndef CARAWAYHAVEN_CLI_COMMAND_LIST_H_
#define CARAWAYHAVEN_CLI_COMMAND_LIST_H_

#include <memory>
#include <string>
#include <vector>

#include "cli/proxy_command.h"

namespace carawayhaven {

class AdminClient;

/// The subcommands of the carawayhaven binary.
class CommandList {
 public:
  /// `context` and `client` must outlive the list. The command "session-proxy"
  /// exists only if `run_session_proxy` is given.
  CommandList(const CommandContext& context, AdminClient& client,
              ProxyCommand::RunProxy run_proxy,
              ProxyCommand::RunProxy run_session_proxy = nullptr);

  /// Runs the command named by the first argument, passes it the remaining
  /// arguments, and returns its exit code.
  int Run(const std::vector<std::string>& arguments);

 private:
  void WriteUsage(std::ostream& out) const;

  const CommandContext& context_;
  std::vector<std::unique_ptr<Command>> commands_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_COMMAND_LIST_H_
