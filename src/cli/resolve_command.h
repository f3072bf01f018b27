#ifndef CARAWAYHAVEN_CLI_RESOLVE_COMMAND_H_
#define CARAWAYHAVEN_CLI_RESOLVE_COMMAND_H_

#include <string>

#include "cli/admin_command.h"

namespace carawayhaven {

/// Resolves the verdict of a write by its request id. A write that has not run
/// is cancelled.
class ResolveCommand : public AdminCommand {
 public:
  ResolveCommand(const CommandContext& context, AdminClient& client);

 protected:
  ExitCode CallProxy() override;

 private:
  TCLAP::UnlabeledValueArg<std::string> service_;
  TCLAP::UnlabeledValueArg<std::string> id_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_RESOLVE_COMMAND_H_
