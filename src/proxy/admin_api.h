#ifndef CARAWAYHAVEN_PROXY_ADMIN_API_H_
#define CARAWAYHAVEN_PROXY_ADMIN_API_H_

#include <cstddef>
#include <map>
#include <string_view>

#include "carawayhaven/names.h"
#include "core/config/team_config_parser.h"
#include "net/http_server.h"
#include "proxy/secret.h"

namespace carawayhaven {

class AdminBackend;

/// HTTP handler of the admin API of a proxy; docs/operations/commands.md
/// defines the API. Invalid input is rejected with a JSON error and changes
/// nothing. Not thread-safe; all calls must come from the thread of the event
/// loop.
class AdminApi : public HttpHandler {
 public:
  using Tokens = std::map<TeamName, Secret, std::less<>>;

  static constexpr std::size_t kMaxNameBytes = 64;
  static constexpr std::size_t kMaxTeamTextBytes =
      TeamConfigParser::kMaxTextBytes;
  /// Name in `tokens` of the token that permits draining a proxy.
  static constexpr std::string_view kOperators = "operators";

  /// Both arguments must outlive the API and all pending requests.
  AdminApi(AdminBackend& backend, const Tokens& tokens);

  void OnRequest(const HttpRequest& request, HttpResponder responder) override;

 private:
  void HandleTeam(const HttpRequest& request, std::string_view team,
                  const HttpResponder& responder);
  void GetTeam(std::string_view team, const HttpResponder& responder) const;
  void PutTeam(const HttpRequest& request, std::string_view team,
               const HttpResponder& responder);
  void HandleDrain(const HttpRequest& request, const HttpResponder& responder);
  void HandleResolve(std::string_view rest, const HttpResponder& responder);
  bool CheckToken(const HttpRequest& request, std::string_view name,
                  const HttpResponder& responder) const;

  AdminBackend& backend_;
  const Tokens& tokens_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_ADMIN_API_H_
