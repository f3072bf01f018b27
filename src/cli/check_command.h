#ifndef CARAWAYHAVEN_CLI_CHECK_COMMAND_H_
#define CARAWAYHAVEN_CLI_CHECK_COMMAND_H_

#include <string>

#include "cli/command.h"

namespace carawayhaven {

/// Validates the TOML configuration of a team without a proxy. Writes each
/// error as FILE:LINE:COLUMN: MESSAGE.
class CheckCommand : public Command {
 public:
  explicit CheckCommand(const CommandContext& context);

 protected:
  ExitCode Execute() override;

 private:
  TCLAP::UnlabeledValueArg<std::string> file_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_CHECK_COMMAND_H_
