#ifndef CARAWAYHAVEN_OUTCOME_H_
#define CARAWAYHAVEN_OUTCOME_H_

#include <optional>
#include <string>
#include <string_view>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "carawayhaven/verdict.h"

namespace carawayhaven {

/// Why a request ended the way it did.
enum class Reason {
  kNone,
  kInvalidRequest,
  kUnknownService,
  kDeadline,
  kOverloaded,
  kLeaving,
  kBehind,
  kStaleTerm,
  kNotPrimary,
  kBusy,
  kConnectionLost,
  kPeerLost,
  kCancelled,
  kConstraint,
  kUnknownTransaction,
  kStatementError,
};

/// Returns the stable text form, for example "deadline".
std::string_view ReasonName(Reason reason);

/// Returns the reason with that text form, or nullopt for an unknown name.
std::optional<Reason> ReasonFromName(std::string_view name);

/// The result of a request.
struct Outcome {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  /// Result as JSON text, or the error message for Reason::kStatementError.
  std::string payload;
  /// Log position that the result reflects.
  LogPosition position;
  EndpointName served_by;
  bool from_replica = false;
  /// Set when a request is rejected early: time after which a retry may
  /// succeed.
  Duration retry_after{0};
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_OUTCOME_H_
