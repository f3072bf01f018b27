#include "cli/submit_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "core/config/team_config_parser.h"

namespace carawayhaven {

SubmitCommand::SubmitCommand(const CommandContext& context, AdminClient& client)
    : AdminCommand("submit",
                   "puts the TOML text of a team in force; the token is read "
                   "from CARAWAYHAVEN_TOKEN",
                   context, client),
      file_("file", "TOML text of the team", true, "", "FILE", command_line()),
      based_on_("", "based-on",
                "version that the text is based on; without it the team must "
                "be new",
                false, 0, "VERSION", command_line()) {}

ExitCode SubmitCommand::CallProxy() {
  const auto text = ReadFile(file_.getValue());
  if (!text) return kExitUsage;
  const TeamConfigResult parsed = TeamConfigParser::Parse(*text);
  if (!parsed.config) {
    for (const ConfigError& error : parsed.errors) {
      err() << file_.getValue() << ':' << error.position.line << ':'
            << error.position.column << ": " << error.message << '\n';
    }
    return kExitRefused;
  }
  HttpRequest request;
  request.method = "PUT";
  request.path = "/teams/" + parsed.config->team;
  request.if_match = std::to_string(based_on_.getValue());
  request.bearer_token = ReadToken();
  request.body = *text;
  if (request.bearer_token.empty()) return kExitUsage;
  if (!CheckReachable()) return kExitUnreachable;
  const HttpResponse response = Send(request);
  if (response.status == 422) return ReportErrors(response.body);
  if (response.status != 200) return ReportFailure(response);
  out() << "version " << JsonMember(response.body, "version")
        << " is in force\n";
  return kExitOk;
}

ExitCode SubmitCommand::ReportErrors(const std::string& body) const {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("errors")) {
    for (const nlohmann::json& error : json["errors"]) {
      err() << file_.getValue() << ':' << error.value("line", 0U) << ':'
            << error.value("column", 0U) << ": "
            << error.value("message", std::string()) << '\n';
    }
  }
  return kExitRefused;
}

}  // namespace carawayhaven
