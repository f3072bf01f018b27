#include "proxy/admin_api.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "proxy/admin_backend.h"
#include "proxy/resolvable_id.h"
#include "proxy/status_json.h"

namespace carawayhaven {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kTeamsPrefix = "/teams/";
constexpr std::string_view kResolvePrefix = "/resolve/";
constexpr char kPrometheusType[] = "text/plain; version=0.0.4";
constexpr char kNameRule[] =
    "must have 1 to 64 letters, digits, '-', '_' or '.'";

HttpResponse JsonResponse(int status, const Json& json) {
  HttpResponse response;
  response.status = status;
  response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

HttpResponse ErrorResponse(int status, std::string_view message) {
  return JsonResponse(status, {{"error", message}});
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= AdminApi::kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::optional<ObjectVersion> ParseVersion(std::string_view text) {
  ObjectVersion version = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc() || stop != end) return std::nullopt;
  return version;
}

// Responds with 405 and returns false unless the method is the allowed one.
bool CheckMethod(const HttpRequest& request, std::string_view allowed,
                 const HttpResponder& responder) {
  if (request.method == allowed) return true;
  responder(
      ErrorResponse(405, "this path allows only " + std::string(allowed)));
  return false;
}

HttpResponse ToResponse(const SubmitResult& result) {
  switch (result.status) {
    case SubmitStatus::kAccepted: {
      HttpResponse response = JsonResponse(200, {{"version", result.version}});
      response.etag = std::to_string(result.version);
      return response;
    }
    case SubmitStatus::kConflict: {
      HttpResponse response = JsonResponse(
          412, {{"error", "version " + std::to_string(result.version) +
                              " of the team is current; nothing changed"},
                {"version", result.version}});
      response.etag = std::to_string(result.version);
      return response;
    }
    case SubmitStatus::kInvalid: {
      Json errors = Json::array();
      for (const ConfigError& error : result.errors) {
        errors.push_back({{"line", error.position.line},
                          {"column", error.position.column},
                          {"message", error.message}});
      }
      return JsonResponse(422,
                          {{"error", "the text has errors; nothing changed"},
                           {"errors", std::move(errors)}});
    }
    case SubmitStatus::kUnavailable:
      return ErrorResponse(
          503, "the platform's store is not available; nothing changed");
    case SubmitStatus::kUnknown:
      break;
  }
  return ErrorResponse(504,
                       "the platform's store did not answer; the update may "
                       "have taken effect: read the team's version");
}

HttpResponse ToResponse(const Outcome& outcome) {
  Json json = {{"verdict", VerdictName(outcome.verdict)},
               {"reason", ReasonName(outcome.reason)}};
  if (outcome.verdict == Verdict::kRan) json["payload"] = outcome.payload;
  if (outcome.retry_after.count() > 0) {
    json["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(outcome.retry_after)
            .count();
  }
  int status = 200;
  if (outcome.verdict == Verdict::kMayHaveRun) {
    status = 504;
    json["error"] = "the verdict is not known yet; ask again";
  } else if (outcome.reason == Reason::kUnknownService) {
    status = 404;
    json["error"] = "no team declares the service";
  }
  return JsonResponse(status, json);
}

}  // namespace

AdminApi::AdminApi(AdminBackend& backend, const Tokens& tokens)
    : backend_(backend), tokens_(tokens) {}

void AdminApi::OnRequest(const HttpRequest& request, HttpResponder responder) {
  const std::string_view path = request.path;
  if (path == "/healthz") {
    if (CheckMethod(request, "GET", responder)) {
      responder(JsonResponse(200, {{"healthy", true}}));
    }
  } else if (path == "/readyz") {
    if (!CheckMethod(request, "GET", responder)) return;
    const Readiness readiness = backend_.CheckReadiness();
    responder(readiness.ready
                  ? JsonResponse(200, {{"ready", true}})
                  : JsonResponse(
                        503, {{"ready", false}, {"error", readiness.reason}}));
  } else if (path == "/status") {
    if (!CheckMethod(request, "GET", responder)) return;
    HttpResponse response;
    response.body = FormatStatusJson(backend_.Status());
    responder(response);
  } else if (path == "/metrics") {
    if (!CheckMethod(request, "GET", responder)) return;
    HttpResponse response;
    response.content_type = kPrometheusType;
    response.body = backend_.MetricsText();
    responder(response);
  } else if (path == "/drain") {
    HandleDrain(request, responder);
  } else if (path.starts_with(kTeamsPrefix)) {
    HandleTeam(request, path.substr(kTeamsPrefix.size()), responder);
  } else if (path.starts_with(kResolvePrefix)) {
    if (CheckMethod(request, "POST", responder)) {
      HandleResolve(path.substr(kResolvePrefix.size()), responder);
    }
  } else {
    responder(ErrorResponse(404, "unknown path"));
  }
}

void AdminApi::HandleTeam(const HttpRequest& request, std::string_view team,
                          const HttpResponder& responder) {
  if (!IsName(team)) {
    responder(ErrorResponse(400, std::string("the team's name ") + kNameRule));
  } else if (request.method == "GET") {
    GetTeam(team, responder);
  } else if (request.method == "PUT") {
    PutTeam(request, team, responder);
  } else {
    responder(ErrorResponse(405, "this path allows only GET and PUT"));
  }
}

void AdminApi::GetTeam(std::string_view team,
                       const HttpResponder& responder) const {
  const std::optional<TeamDocument> document = backend_.FindTeam(team);
  if (!document) {
    responder(ErrorResponse(404, "this proxy knows no such team"));
    return;
  }
  Json applied_versions = Json::array();
  for (const AppliedTeamVersion& version : document->applied_versions) {
    applied_versions.push_back(
        {{"version", version.version},
         {"applied_ago_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
              version.applied_ago)
              .count()}});
  }
  HttpResponse response =
      JsonResponse(200, {{"team", team},
                         {"version", document->version},
                         {"text", document->text},
                         {"seen", std::move(applied_versions)}});
  response.etag = std::to_string(document->version);
  responder(response);
}

void AdminApi::PutTeam(const HttpRequest& request, std::string_view team,
                       const HttpResponder& responder) {
  if (!CheckToken(request, team, responder)) return;
  if (request.if_match.empty()) {
    responder(ErrorResponse(
        428,
        "If-Match must name the version that the text is based on, or "
        "\"0\" for a new team"));
    return;
  }
  const std::optional<ObjectVersion> based_on = ParseVersion(request.if_match);
  if (!based_on) {
    responder(ErrorResponse(400, "If-Match must be a version number"));
  } else if (request.body.empty()) {
    responder(ErrorResponse(400, "the body must be the team's TOML text"));
  } else if (request.body.size() > kMaxTeamTextBytes) {
    responder(ErrorResponse(413, "the text must have at most " +
                                     std::to_string(kMaxTeamTextBytes) +
                                     " bytes"));
  } else {
    backend_.Submit(std::string(team), request.body, *based_on,
                    [responder](const SubmitResult& result) {
                      responder(ToResponse(result));
                    });
  }
}

void AdminApi::HandleDrain(const HttpRequest& request,
                           const HttpResponder& responder) {
  if (!CheckMethod(request, "POST", responder)) return;
  if (!CheckToken(request, kOperators, responder)) return;
  backend_.Drain();
  responder(JsonResponse(202, {{"draining", true}}));
}

void AdminApi::HandleResolve(std::string_view rest,
                             const HttpResponder& responder) {
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    responder(
        ErrorResponse(400, "the path must be /resolve/<service>/<request id>"));
    return;
  }
  const std::string_view service = rest.substr(0, slash);
  const std::string_view id = rest.substr(slash + 1);
  if (!IsName(service)) {
    responder(
        ErrorResponse(400, std::string("the service's name ") + kNameRule));
  } else if (!IsResolvableId(id)) {
    responder(
        ErrorResponse(400, std::string("the request id ") + kResolvableIdRule));
  } else {
    backend_.Resolve(std::string(service), std::string(id),
                     [responder](const Outcome& outcome) {
                       responder(ToResponse(outcome));
                     });
  }
}

// The response is the same whether or not the name has a token, so that the
// names of teams cannot be probed.
bool AdminApi::CheckToken(const HttpRequest& request, std::string_view name,
                          const HttpResponder& responder) const {
  if (request.bearer_token.empty()) {
    responder(ErrorResponse(401, "a Bearer token is required"));
    return false;
  }
  const auto found = tokens_.find(name);
  if (found != tokens_.end() && found->second.Matches(request.bearer_token)) {
    return true;
  }
  responder(ErrorResponse(
      403, "the token is not the one of '" + std::string(name) + "'"));
  return false;
}

}  // namespace carawayhaven
