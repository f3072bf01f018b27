#ifndef CARAWAYHAVEN_CLI_COMMAND_H_
#define CARAWAYHAVEN_CLI_COMMAND_H_

#include <tclap/CmdLine.h>

#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace carawayhaven {

/// Output streams and environment variables of a command. The streams must
/// outlive the command.
struct CommandContext {
  std::ostream& out;
  std::ostream& err;
  std::map<std::string, std::string, std::less<>> environment;
};

/// Base class of subcommands. Derived classes hold their arguments as members
/// that register with `command_line()`. An instance runs at most once. Not
/// thread-safe.
class Command {
 public:
  Command(std::string name, std::string summary, const CommandContext& context);
  virtual ~Command();
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  const std::string& name() const { return name_; }
  const std::string& summary() const { return summary_; }

  /// Parses `arguments`, which do not include the name of the command, and
  /// executes the command. Writes help and usage errors. Returns the exit code.
  int Run(const std::vector<std::string>& arguments);

 protected:
  virtual ExitCode Execute() = 0;

  TCLAP::CmdLine& command_line() { return command_line_; }
  std::ostream& out() const { return context_.out; }
  std::ostream& err() const { return context_.err; }
  const CommandContext& context() const { return context_; }

  /// Returns the content of the file. If the file cannot be read or is empty,
  /// writes an error and returns std::nullopt.
  std::optional<std::string> ReadFile(const std::string& path) const;

 private:
  class Output;

  std::string name_;
  std::string summary_;
  const CommandContext& context_;
  std::unique_ptr<Output> output_;
  TCLAP::CmdLine command_line_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_COMMAND_H_
