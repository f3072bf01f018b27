#include "cli/version_command.h"

#include <ostream>

#include "proxy/build_version.h"

namespace carawayhaven {

VersionCommand::VersionCommand(const CommandContext& context)
    : Command("version", "writes the version", context) {}

ExitCode VersionCommand::Execute() {
  out() << "carawayhaven " << kBuildVersion << '\n';
  return kExitOk;
}

}  // namespace carawayhaven
