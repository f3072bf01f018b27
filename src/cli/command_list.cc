#include "cli/command_list.h"

#include <ostream>
#include <utility>

#include "cli/check_command.h"
#include "cli/drain_command.h"
#include "cli/resolve_command.h"
#include "cli/status_command.h"
#include "cli/submit_command.h"
#include "cli/version_command.h"

namespace carawayhaven {

CommandList::CommandList(const CommandContext& context, AdminClient& client,
                         ProxyCommand::RunProxy run_proxy,
                         ProxyCommand::RunProxy run_session_proxy)
    : context_(context) {
  commands_.push_back(std::make_unique<ProxyCommand>(
      context, "proxy", "runs a proxy for callers with requests",
      std::move(run_proxy)));
  if (run_session_proxy != nullptr) {
    commands_.push_back(std::make_unique<ProxyCommand>(
        context, "session-proxy", "runs a proxy for callers with sessions",
        std::move(run_session_proxy),
        std::vector<std::string>{"ready_address", "promotion_address"}));
  }
  commands_.push_back(std::make_unique<CheckCommand>(context));
  commands_.push_back(std::make_unique<SubmitCommand>(context, client));
  commands_.push_back(std::make_unique<StatusCommand>(context, client));
  commands_.push_back(std::make_unique<DrainCommand>(context, client));
  commands_.push_back(std::make_unique<ResolveCommand>(context, client));
  commands_.push_back(std::make_unique<VersionCommand>(context));
}

int CommandList::Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    WriteUsage(context_.err);
    return kExitUsage;
  }
  if (arguments[0] == "--help" || arguments[0] == "-h") {
    WriteUsage(context_.out);
    return kExitOk;
  }
  for (const std::unique_ptr<Command>& command : commands_) {
    if (command->name() == arguments[0]) {
      return command->Run({arguments.begin() + 1, arguments.end()});
    }
  }
  context_.err << "unknown command '" << arguments[0] << "'\n";
  WriteUsage(context_.err);
  return kExitUsage;
}

void CommandList::WriteUsage(std::ostream& out) const {
  out << "usage: carawayhaven COMMAND [ARGUMENT...]\n\n";
  for (const std::unique_ptr<Command>& command : commands_) {
    out << "  " << command->name() << "\n      " << command->summary() << '\n';
  }
  out << "\ncarawayhaven COMMAND --help describes the arguments.\n";
}

}  // namespace carawayhaven
