#include "cli/admin_command.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "cli/admin_client.h"
#include "net/address.h"

namespace carawayhaven {

AdminCommand::AdminCommand(std::string name, std::string summary,
                           const CommandContext& context, AdminClient& client)
    : Command(std::move(name), std::move(summary), context),
      client_(client),
      address_("", "admin", "address of the admin API of any proxy", true, "",
               "IP:port", command_line()) {}

ExitCode AdminCommand::Execute() {
  try {
    ParseAddress(address_.getValue());
  } catch (const NetworkError& error) {
    err() << "--admin: " << error.what() << '\n';
    return kExitUsage;
  }
  return CallProxy();
}

HttpResponse AdminCommand::Send(const HttpRequest& request) {
  return client_.Call(address_.getValue(), request);
}

bool AdminCommand::CheckReachable() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/healthz";
  if (Send(request).status == 200) return true;
  err() << "no answer from the admin API at " << address_.getValue()
        << "; nothing was changed\n";
  return false;
}

std::string AdminCommand::ReadToken() const {
  const auto found = context().environment.find(kTokenVariable);
  if (found != context().environment.end() && !found->second.empty()) {
    return found->second;
  }
  err() << "the environment variable " << kTokenVariable
        << " must hold the token\n";
  return {};
}

ExitCode AdminCommand::ReportFailure(const HttpResponse& response) const {
  if (response.status == 0) {
    err() << "no answer from " << address_.getValue()
          << "; the request may have taken effect\n";
    return kExitUnknown;
  }
  err() << JsonMember(response.body, "error") << " (HTTP status "
        << response.status << ")\n";
  if (response.status == 503) return kExitUnreachable;
  return response.status >= 500 ? kExitUnknown : kExitRefused;
}

std::string JsonMember(const std::string& json, const char* member) {
  const nlohmann::json parsed = nlohmann::json::parse(json, nullptr, false);
  if (!parsed.is_object() || !parsed.contains(member)) return {};
  const nlohmann::json& value = parsed[member];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace carawayhaven
