#include "cli/command.h"

#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

#include "proxy/build_version.h"

namespace carawayhaven {

// Writes help and errors to the streams of the CommandContext. TCLAP's default
// output writes to std::cout and std::cerr.
class Command::Output : public TCLAP::CmdLineOutput {
 public:
  explicit Output(const Command& command) : command_(command) {}

  void usage(TCLAP::CmdLineInterface& line) override {
    std::ostream& out = command_.out();
    out << "carawayhaven " << command_.name() << ": " << command_.summary()
        << "\n\nArguments:\n";
    for (const TCLAP::Arg* argument : line.getArgList()) {
      out << "  " << argument->longID() << "\n      "
          << argument->getDescription() << '\n';
    }
    out << "\nExit codes: 0 ok, 1 refused or conflict, 2 usage, "
           "3 unreachable, 4 unknown result\n";
  }

  void version(TCLAP::CmdLineInterface& line) override {
    command_.out() << line.getVersion() << '\n';
  }

  void failure(TCLAP::CmdLineInterface& /*line*/,
               TCLAP::ArgException& error) override {
    command_.err() << "carawayhaven " << command_.name() << ": "
                   << error.error() << " (" << error.argId()
                   << "); see --help\n";
  }

 private:
  const Command& command_;
};

Command::Command(std::string name, std::string summary,
                 const CommandContext& context)
    : name_(std::move(name)),
      summary_(std::move(summary)),
      context_(context),
      output_(std::make_unique<Output>(*this)),
      command_line_(summary_, ' ', kBuildVersion) {
  command_line_.setExceptionHandling(false);
  command_line_.setOutput(output_.get());
}

Command::~Command() = default;

int Command::Run(const std::vector<std::string>& arguments) {
  std::vector<std::string> line{"carawayhaven " + name_};
  line.insert(line.end(), arguments.begin(), arguments.end());
  try {
    command_line_.parse(line);
  } catch (TCLAP::ArgException& error) {
    output_->failure(command_line_, error);
    return kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  return Execute();
}

std::optional<std::string> Command::ReadFile(const std::string& path) const {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    err() << path << ": cannot be read or is empty\n";
    return std::nullopt;
  }
  return text.str();
}

}  // namespace carawayhaven
