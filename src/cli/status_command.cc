#include "cli/status_command.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <vector>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using Row = std::vector<std::string>;

// Returns a string member as its text, any other member as JSON, and "-" for a
// member that is absent.
std::string Cell(const nlohmann::json& object, const char* member) {
  if (!object.contains(member)) return "-";
  const nlohmann::json& value = object[member];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

Row EndpointRow(const nlohmann::json& group, const nlohmann::json& endpoint) {
  std::string position = "-";
  if (endpoint.contains("position")) {
    position = Cell(endpoint["position"], "term") + '.' +
               Cell(endpoint["position"], "index");
  }
  std::string pool = "-";
  if (endpoint.contains("pool")) {
    pool = Cell(endpoint["pool"], "running") + '/' +
           Cell(endpoint["pool"], "slots") + " running, " +
           Cell(endpoint["pool"], "waiting") + " waiting";
  }
  std::string role = Cell(endpoint, "role");
  if (endpoint.value("leaving", false)) role += " (leaving)";
  return {Cell(group, "service"),
          Cell(group, "term"),
          Cell(endpoint, "name"),
          role,
          position,
          Cell(endpoint, "lag_ms"),
          Cell(endpoint, "owner"),
          pool};
}

void WriteRows(std::ostream& out, const std::vector<Row>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const Row& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
    }
    out << row.back() << '\n';
  }
}

}  // namespace

StatusCommand::StatusCommand(const CommandContext& context, AdminClient& client)
    : AdminCommand("status", "shows the state as one proxy sees it", context,
                   client),
      json_("", "json", "write the JSON of the admin API", command_line()) {}

ExitCode StatusCommand::CallProxy() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/status";
  const HttpResponse response = Send(request);
  if (response.status == 0) {
    err() << "no answer from the admin API\n";
    return kExitUnreachable;
  }
  if (response.status != 200) return ReportFailure(response);
  if (json_.getValue()) {
    out() << response.body << '\n';
    return kExitOk;
  }
  try {
    out() << FormatStatusTable(response.body);
  } catch (const Error& error) {
    err() << error.what() << '\n';
    return kExitUnknown;
  }
  return kExitOk;
}

std::string FormatStatusTable(const std::string& json) {
  try {
    const nlohmann::json status = nlohmann::json::parse(json);
    std::ostringstream out;
    out << "vm " << Cell(status, "vm") << ", data centre "
        << Cell(status, "data_centre") << ", sessions "
        << Cell(status, "sessions") << ", in flight "
        << Cell(status, "requests_in_flight")
        << (status.at("leaving").get<bool>() ? ", leaving" : "")
        << (status.at("store_reachable").get<bool>() ? ""
                                                     : ", store unreachable")
        << "\n\n";
    std::vector<Row> endpoints{{"SERVICE", "TERM", "ENDPOINT", "ROLE",
                                "POSITION", "LAG MS", "OWNER", "POOL"}};
    for (const nlohmann::json& group : status.at("groups")) {
      for (const nlohmann::json& endpoint : group.at("endpoints")) {
        endpoints.push_back(EndpointRow(group, endpoint));
      }
    }
    WriteRows(out, endpoints);
    out << '\n';
    std::vector<Row> teams{{"TEAM", "VERSION"}};
    for (const nlohmann::json& team : status.at("teams")) {
      teams.push_back({Cell(team, "team"), Cell(team, "version")});
    }
    WriteRows(out, teams);
    out << '\n';
    std::vector<Row> members{{"VM", "DATA CENTRE", "ADDRESS", "STATE"}};
    for (const nlohmann::json& member : status.at("members")) {
      members.push_back({Cell(member, "vm"), Cell(member, "data_centre"),
                         Cell(member, "address"), Cell(member, "state")});
    }
    WriteRows(out, members);
    return out.str();
  } catch (const nlohmann::json::exception&) {
    throw Error("the response is not a proxy status in the expected format");
  }
}

}  // namespace carawayhaven
