#ifndef CARAWAYHAVEN_CORE_SESSION_REPLY_CODE_H_
#define CARAWAYHAVEN_CORE_SESSION_REPLY_CODE_H_

#include <cstdint>
#include <string_view>

namespace carawayhaven {

/// How a statement of a session ended, at an endpoint or towards a caller.
enum class ReplyCode : std::uint8_t {
  kOk,
  /// No capacity now; nothing ran.
  kBusy,
  /// The log has not reached the required position; nothing ran.
  kBehind,
  /// A write or a plain transaction at an endpoint that is no primary.
  kNotPrimary,
  /// The address belongs to another endpoint or service now.
  kWrongEndpoint,
  /// The endpoint has as many connections as it accepts.
  kTooManyConnections,
  /// The prepared name is unknown; nothing ran.
  kUnknownStatement,
  /// The statement ran and failed.
  kFailed,
  kTimeout,
  kUnknownDatabase,
  kMalformed,
  kTooLarge,
  /// The transaction was rolled back; nothing of it is kept.
  kAborted,
  /// A write or a commit may or may not have taken effect.
  kInDoubt,
  /// A code that this version does not know; nothing is assumed about it.
  kOther,
};

/// Returns the stable text form for logs and metrics, for example "in_doubt".
std::string_view ReplyCodeName(ReplyCode code);

/// True for the codes of an endpoint that mean that the statement did not run.
bool GuaranteesNotRun(ReplyCode code);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_REPLY_CODE_H_
