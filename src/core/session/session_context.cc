#include "core/session/session_context.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace carawayhaven {
namespace {

// A connection with this many prepared statements is reset before its next use.
constexpr std::size_t kMaxPreparedStatements = 256;

bool NeedsReset(const SessionContext& session,
                const ConnectionContext& connection) {
  if (connection.prepared.size() >= kMaxPreparedStatements) return true;
  return !std::all_of(
      connection.values.begin(), connection.values.end(),
      [&](const auto& value) { return session.values.contains(value.first); });
}

}  // namespace

std::string EndpointStatementName(const PreparedStatement& statement) {
  const XXH128_hash_t hash =
      XXH3_128bits(statement.shape.data(), statement.shape.size());
  std::array<char, 40> name{};
  std::snprintf(name.data(), name.size(), "%c%016llx%016llx",
                statement.access == AccessMode::kWrite ? 'w' : 'r',
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return name.data();
}

std::vector<EndpointStatement> PlanSetup(const SessionContext& session,
                                         const ConnectionContext& connection,
                                         const PreparedStatement* needed) {
  std::vector<EndpointStatement> plan;
  const bool reset = NeedsReset(session, connection);
  if (reset) {
    plan.emplace_back().kind = EndpointStatementKind::kReset;
  }
  for (const auto& [name, value] : session.values) {
    const auto current = connection.values.find(name);
    if (!reset && current != connection.values.end() &&
        current->second == value) {
      continue;
    }
    EndpointStatement& set = plan.emplace_back();
    set.kind = EndpointStatementKind::kSet;
    set.name = name;
    set.value = value;
  }
  if (needed == nullptr) return plan;
  std::string name = EndpointStatementName(*needed);
  if (!reset && connection.prepared.contains(name)) return plan;
  EndpointStatement& prepare = plan.emplace_back();
  prepare.kind = EndpointStatementKind::kPrepare;
  prepare.name = std::move(name);
  prepare.value = needed->shape;
  prepare.access = needed->access;
  return plan;
}

std::vector<EndpointStatement> PlanResynchronization(
    const SessionContext& session, const PreparedStatement* needed) {
  if (session.values.empty()) {
    std::vector<EndpointStatement> plan = PlanSetup(session, {}, needed);
    plan.insert(plan.begin(), EndpointStatement())->kind =
        EndpointStatementKind::kReset;
    return plan;
  }
  EndpointStatement set;
  set.kind = EndpointStatementKind::kSet;
  set.name = session.values.begin()->first;
  set.value = session.values.begin()->second;
  return {set};
}

void ApplySetup(const EndpointStatement& statement,
                ConnectionContext& connection) {
  switch (statement.kind) {
    case EndpointStatementKind::kReset:
      connection = {};
      break;
    case EndpointStatementKind::kSet:
      connection.values[statement.name] = statement.value;
      break;
    case EndpointStatementKind::kPrepare:
      connection.prepared.insert(statement.name);
      break;
    default:
      break;
  }
}

std::size_t CountSetupStatements(const SessionContext& session,
                                 const ConnectionContext& connection) {
  return PlanSetup(session, connection, nullptr).size();
}

}  // namespace carawayhaven
