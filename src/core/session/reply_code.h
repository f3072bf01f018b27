#ifndef CARAWAYHAVEN_CORE_SESSION_REPLY_CODE_H_
#define CARAWAYHAVEN_CORE_SESSION_REPLY_CODE_H_

#include <cstdint>
#include <string_view>

namespace carawayhaven {

/// Result code of a session statement, received from an endpoint or sent to a
/// caller.
enum class ReplyCode : std::uint8_t {
  kOk,
  /// No capacity at present; nothing ran.
  kBusy,
  /// The log has not reached the required position; nothing ran.
  kBehind,
  /// A write or a read-write transaction was sent to an endpoint that is not
  /// the primary; nothing ran.
  kNotPrimary,
  /// The address now belongs to another endpoint or service.
  kWrongEndpoint,
  /// The endpoint's connection limit is reached.
  kTooManyConnections,
  /// No prepared statement has that name; nothing ran.
  kUnknownStatement,
  /// The statement ran and failed.
  kFailed,
  kTimeout,
  kUnknownDatabase,
  /// The caller's key is not in the configuration.
  kUnauthenticated,
  kMalformed,
  kTooLarge,
  /// The transaction was rolled back; none of its writes took effect.
  kAborted,
  /// A write or a commit may or may not have taken effect.
  kInDoubt,
  /// A code that this version does not recognise; the statement may or may not
  /// have run.
  kOther,
};

/// Returns the stable name for logs and metrics, for example "in_doubt".
std::string_view ReplyCodeName(ReplyCode code);

/// True if an endpoint that replies with the code has not run the statement.
bool GuaranteesNotRun(ReplyCode code);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_REPLY_CODE_H_
