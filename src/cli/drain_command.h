#ifndef CARAWAYHAVEN_CLI_DRAIN_COMMAND_H_
#define CARAWAYHAVEN_CLI_DRAIN_COMMAND_H_

#include "cli/admin_command.h"

namespace carawayhaven {

/// Starts the graceful shutdown of the proxy given with --admin.
class DrainCommand : public AdminCommand {
 public:
  DrainCommand(const CommandContext& context, AdminClient& client);

 protected:
  ExitCode CallProxy() override;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_DRAIN_COMMAND_H_
