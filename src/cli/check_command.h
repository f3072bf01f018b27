#ifndef CARAWAYHAVEN_CLI_CHECK_COMMAND_H_
#define CARAWAYHAVEN_CLI_CHECK_COMMAND_H_

#include <string>

#include "cli/command.h"

namespace carawayhaven {

/// Checks the text of a team and writes every error as FILE:LINE:COLUMN.
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
