#ifndef CARAWAYHAVEN_CLI_ADMIN_COMMAND_H_
#define CARAWAYHAVEN_CLI_ADMIN_COMMAND_H_

#include <string>

#include "cli/command.h"
#include "net/http_server.h"

namespace carawayhaven {

class AdminClient;

/// A command that calls the admin API of the proxy given with --admin.
class AdminCommand : public Command {
 public:
  /// Environment variable with the token of the team or of the operators.
  static constexpr char kTokenVariable[] = "CARAWAYHAVEN_TOKEN";

  /// `client` must outlive the command.
  AdminCommand(std::string name, std::string summary,
               const CommandContext& context, AdminClient& client);

 protected:
  ExitCode Execute() final;

  /// Called when the address is well-formed.
  virtual ExitCode CallProxy() = 0;

  /// Sends the request to the proxy.
  HttpResponse Send(const HttpRequest& request);

  /// Says whether the proxy answers at all; writes an error when it does not.
  /// A command that changes something asks first, so that "unreachable" means
  /// that nothing was sent.
  bool CheckReachable();

  /// Returns the token, empty after an error was written.
  std::string ReadToken() const;

  /// Writes the error of a response and returns the exit code for it.
  ExitCode ReportFailure(const HttpResponse& response) const;

 private:
  AdminClient& client_;
  TCLAP::ValueArg<std::string> address_;
};

/// Returns the text of a member of a JSON object, or an empty text.
std::string JsonMember(const std::string& json, const char* member);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_ADMIN_COMMAND_H_
