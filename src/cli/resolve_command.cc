#include "cli/resolve_command.h"

#include <ostream>

#include "proxy/resolvable_id.h"

namespace carawayhaven {

ResolveCommand::ResolveCommand(const CommandContext& context,
                               AdminClient& client)
    : AdminCommand("resolve",
                   "settles whether a write ran; a write that has not run is "
                   "cancelled for good",
                   context, client),
      service_("service", "service of the write", true, "", "SERVICE",
               command_line()),
      id_("id", "request id of the write", true, "", "ID", command_line()) {}

ExitCode ResolveCommand::CallProxy() {
  // IsResolvableId accepts more than a valid service name; the proxy validates
  // the name.
  if (!IsResolvableId(service_.getValue()) || !IsResolvableId(id_.getValue())) {
    err() << "SERVICE and ID " << kResolvableIdRule << '\n';
    return kExitUsage;
  }
  if (!CheckReachable()) return kExitUnreachable;
  HttpRequest request;
  request.method = "POST";
  request.path = "/resolve/" + service_.getValue() + '/' + id_.getValue();
  const HttpResponse response = Send(request);
  if (response.status != 200) return ReportFailure(response);
  out() << JsonMember(response.body, "verdict") << '\n';
  return kExitOk;
}

}  // namespace carawayhaven
