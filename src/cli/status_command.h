#ifndef CARAWAYHAVEN_CLI_STATUS_COMMAND_H_
#define CARAWAYHAVEN_CLI_STATUS_COMMAND_H_

#include <string>

#include "cli/admin_command.h"

namespace carawayhaven {

/// Shows the groups, endpoints, teams and VMs as the proxy given with --admin
/// sees them.
class StatusCommand : public AdminCommand {
 public:
  StatusCommand(const CommandContext& context, AdminClient& client);

 protected:
  ExitCode CallProxy() override;

 private:
  TCLAP::SwitchArg json_;
};

/// Formats the JSON of GET /status as human-readable tables. Throws Error when
/// `json` does not have the expected structure.
std::string FormatStatusTable(const std::string& json);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_STATUS_COMMAND_H_
