#include "cli/drain_command.h"

#include <ostream>

namespace carawayhaven {

DrainCommand::DrainCommand(const CommandContext& context, AdminClient& client)
    : AdminCommand("drain",
                   "starts the graceful shutdown of the proxy; the token of "
                   "the operators is read from CARAWAYHAVEN_TOKEN",
                   context, client) {}

ExitCode DrainCommand::CallProxy() {
  HttpRequest request;
  request.method = "POST";
  request.path = "/drain";
  request.bearer_token = ReadToken();
  if (request.bearer_token.empty()) return kExitUsage;
  if (!CheckReachable()) return kExitUnreachable;
  const HttpResponse response = Send(request);
  if (response.status != 202) return ReportFailure(response);
  out() << "draining\n";
  return kExitOk;
}

}  // namespace carawayhaven
