#ifndef CARAWAYHAVEN_CORE_ENDPOINT_ANSWER_H_
#define CARAWAYHAVEN_CORE_ENDPOINT_ANSWER_H_

#include <string>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

enum class EndpointStatus {
  kOk,
  /// The data is too old or has not reached the least position; nothing ran.
  kBehind,
  /// The command's term is lower than the endpoint's; nothing ran.
  kStaleTerm,
  /// The endpoint is not the primary of the command's term; nothing ran.
  kNotPrimary,
  /// All slots are in use, or a lock is held; nothing ran.
  kBusy,
  /// A constraint refused the statement; it ran and had no effect.
  kConflict,
  /// The request id has a cancel marker for this attempt; nothing ran.
  kCancelled,
  /// The request id has run before; the payload is the recorded outcome.
  kDuplicate,
  /// kFence: the term is granted to another candidate.
  kRefused,
  /// The statement failed; it had no effect.
  kError,
};

enum class EndpointRole { kReplica, kPrimary };

/// The answer to one EndpointCommand.
struct EndpointAnswer {
  CorrelationId correlation = 0;
  EndpointStatus status = EndpointStatus::kOk;
  /// Highest term that the endpoint has granted or follows.
  Term term = 0;
  EndpointRole role = EndpointRole::kReplica;
  /// Last log entry held by the endpoint. For kExecute and kCommit of a write:
  /// the entry of its effect. For kConfirm: the entry that a replica holds.
  LogPosition position;
  /// kResolve: true when the id has a recorded outcome (then in `payload`).
  bool ran = false;
  /// Age of the endpoint's data, measured with its own clock.
  Duration age{0};
  /// Processor time that the statement took on the endpoint.
  Duration run_time{0};
  /// The endpoint is about to leave and wants no new work.
  bool leaving = false;
  /// Primary of `term` as far as the endpoint knows; may be empty.
  EndpointName primary;
  std::string payload;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ENDPOINT_ANSWER_H_
