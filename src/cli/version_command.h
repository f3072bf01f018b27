#ifndef CARAWAYHAVEN_CLI_VERSION_COMMAND_H_
#define CARAWAYHAVEN_CLI_VERSION_COMMAND_H_

#include "cli/command.h"

namespace carawayhaven {

/// Writes the build version of the binary.
class VersionCommand : public Command {
 public:
  explicit VersionCommand(const CommandContext& context);

 protected:
  ExitCode Execute() override;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_VERSION_COMMAND_H_
