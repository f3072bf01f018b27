#ifndef CARAWAYHAVEN_CLI_ADMIN_COMMAND_H_
#define CARAWAYHAVEN_CLI_ADMIN_COMMAND_H_

#include <string>

#include "cli/command.h"
#include "net/http_server.h"

namespace carawayhaven {

class AdminClient;

/// Base class of commands that call the admin API of the proxy given with
/// --admin.
class AdminCommand : public Command {
 public:
  /// Environment variable that holds the token of the team or of the
  /// operators.
  static constexpr char kTokenVariable[] = "CARAWAYHAVEN_TOKEN";

  /// `client` must outlive the command.
  AdminCommand(std::string name, std::string summary,
               const CommandContext& context, AdminClient& client);

 protected:
  ExitCode Execute() final;

  /// Executes the command. Called only after the address was validated.
  virtual ExitCode CallProxy() = 0;

  /// Sends the request to the proxy given with --admin and returns the
  /// response; its status is 0 without one.
  HttpResponse Send(const HttpRequest& request);

  /// Returns whether the health check of the proxy succeeds; writes an error
  /// otherwise. Commands that change state call this before they send their
  /// request, so that kExitUnreachable implies that the request was not sent.
  bool CheckReachable();

  /// Returns the value of kTokenVariable. If it is unset or empty, writes an
  /// error and returns an empty string.
  std::string ReadToken() const;

  /// Writes the error of a failed response and returns the matching exit code.
  ExitCode ReportFailure(const HttpResponse& response) const;

 private:
  AdminClient& client_;
  TCLAP::ValueArg<std::string> address_;
};

/// Returns a member of a JSON object: a string as its text, any other value as
/// JSON. Returns an empty string if `json` is not an object or has no such
/// member.
std::string JsonMember(const std::string& json, const char* member);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_ADMIN_COMMAND_H_
