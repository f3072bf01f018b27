#include "cli/check_command.h"

#include <ostream>

#include "core/config/team_config_parser.h"

namespace carawayhaven {

CheckCommand::CheckCommand(const CommandContext& context)
    : Command("check", "checks the TOML text of a team without a proxy",
              context),
      file_("file", "TOML text of the team", true, "", "FILE", command_line()) {
}

ExitCode CheckCommand::Execute() {
  const auto text = ReadFile(file_.getValue());
  if (!text) return kExitUsage;
  const TeamConfigResult result = TeamConfigParser::Parse(*text);
  for (const ConfigError& error : result.errors) {
    out() << file_.getValue() << ':' << error.position.line << ':'
          << error.position.column << ": " << error.message << '\n';
  }
  return result.errors.empty() ? kExitOk : kExitRefused;
}

}  // namespace carawayhaven
