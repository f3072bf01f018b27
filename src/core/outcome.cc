#include "carawayhaven/outcome.h"

#include <array>
#include <utility>

namespace carawayhaven {
namespace {

constexpr std::array<std::pair<Reason, std::string_view>, 16> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kInvalidRequest, "invalid_request"},
    {Reason::kUnknownService, "unknown_service"},
    {Reason::kDeadline, "deadline"},
    {Reason::kOverloaded, "overloaded"},
    {Reason::kLeaving, "leaving"},
    {Reason::kBehind, "behind"},
    {Reason::kStaleTerm, "stale_term"},
    {Reason::kNotPrimary, "not_primary"},
    {Reason::kBusy, "busy"},
    {Reason::kConnectionLost, "connection_lost"},
    {Reason::kPeerLost, "peer_lost"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kConstraint, "constraint"},
    {Reason::kUnknownTransaction, "unknown_transaction"},
    {Reason::kStatementError, "statement_error"},
}};

}  // namespace

std::string_view ReasonName(Reason reason) {
  for (const auto& [value, name] : kReasonNames) {
    if (value == reason) return name;
  }
  return "";
}

std::optional<Reason> ReasonFromName(std::string_view name) {
  for (const auto& [value, text] : kReasonNames) {
    if (text == name) return value;
  }
  return std::nullopt;
}

}  // namespace carawayhaven
