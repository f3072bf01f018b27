#ifndef CARAWAYHAVEN_CLI_SUBMIT_COMMAND_H_
#define CARAWAYHAVEN_CLI_SUBMIT_COMMAND_H_

#include <cstdint>
#include <string>

#include "cli/admin_command.h"

namespace carawayhaven {

/// Submits the TOML configuration of a team. The update is conditional on the
/// version given with --based-on.
class SubmitCommand : public AdminCommand {
 public:
  SubmitCommand(const CommandContext& context, AdminClient& client);

 protected:
  ExitCode CallProxy() override;

 private:
  ExitCode ReportErrors(const std::string& body) const;

  TCLAP::UnlabeledValueArg<std::string> file_;
  TCLAP::ValueArg<std::uint64_t> based_on_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_SUBMIT_COMMAND_H_
