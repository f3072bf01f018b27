#ifndef CARAWAYHAVEN_CLI_STATUS_COMMAND_H_
#define CARAWAYHAVEN_CLI_STATUS_COMMAND_H_

#include <string>

#include "cli/admin_command.h"

namespace carawayhaven {

/// Shows what one proxy knows of groups, endpoints and other proxies.
class StatusCommand : public AdminCommand {
 public:
  StatusCommand(const CommandContext& context, AdminClient& client);

 protected:
  ExitCode CallProxy() override;

 private:
  TCLAP::SwitchArg json_;
};

/// Returns the JSON of GET /status as a table for people. Throws Error when it
/// has another form.
std::string FormatStatusTable(const std::string& json);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_STATUS_COMMAND_H_
