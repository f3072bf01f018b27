#ifndef CARAWAYHAVEN_CORE_SESSION_SESSION_CONTEXT_H_
#define CARAWAYHAVEN_CORE_SESSION_SESSION_CONTEXT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/session/statement.h"

namespace carawayhaven {

struct PreparedStatement {
  AccessMode access = AccessMode::kRead;
  std::string shape;

  friend auto operator<=>(const PreparedStatement&,
                          const PreparedStatement&) = default;
};

/// What a caller's session has set and prepared.
struct SessionContext {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
};

/// What an endpoint connection holds. Prepared statements have names of the
/// proxy there, one for each shape, so that sessions can share them.
struct ConnectionContext {
  std::map<std::string, std::string> values;
  std::set<std::string> prepared;
};

/// Returns the name under which endpoints know the prepared statement.
std::string EndpointStatementName(const PreparedStatement& statement);

/// Returns the statements that make the connection's state that of the session
/// before `needed` (may be null) is executed; empty when it is so already.
std::vector<EndpointStatement> PlanSetup(const SessionContext& session,
                                         const ConnectionContext& connection,
                                         const PreparedStatement* needed);

/// Notes that the endpoint has run a statement of a plan.
void ApplySetup(const EndpointStatement& statement,
                ConnectionContext& connection);

/// Returns how many statements PlanSetup would return for the values alone; a
/// reset counts as well.
std::size_t CountSetupStatements(const SessionContext& session,
                                 const ConnectionContext& connection);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_SESSION_CONTEXT_H_
