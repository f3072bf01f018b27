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

/// Variables and prepared statements of a caller's session.
struct SessionContext {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
};

/// Variables and prepared statements of an endpoint connection. The proxy
/// assigns the names of its prepared statements, one for each shape and access
/// mode, so that sessions can share them.
struct ConnectionContext {
  std::map<std::string, std::string> values;
  std::set<std::string> prepared;
};

/// Returns the name that the prepared statement has on endpoint connections.
std::string EndpointStatementName(const PreparedStatement& statement);

/// Returns the statements that bring the connection into the session's state
/// and prepare `needed`, which may be null; empty if nothing has to change.
std::vector<EndpointStatement> PlanSetup(const SessionContext& session,
                                         const ConnectionContext& connection,
                                         const PreparedStatement* needed);

/// Returns at least one statement that leaves the connection in the session's
/// state, for a connection that is in this state. `needed` as in PlanSetup.
std::vector<EndpointStatement> PlanResynchronization(
    const SessionContext& session, const PreparedStatement* needed);

/// Updates the connection's state after the endpoint ran a statement that
/// PlanSetup returned.
void ApplySetup(const EndpointStatement& statement,
                ConnectionContext& connection);

/// Returns the number of statements that PlanSetup would return for the
/// variables alone, including a reset.
std::size_t CountSetupStatements(const SessionContext& session,
                                 const ConnectionContext& connection);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_SESSION_CONTEXT_H_
