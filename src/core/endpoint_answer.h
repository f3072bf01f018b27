#ifndef CARAWAYHAVEN_CORE_ENDPOINT_ANSWER_H_
#define CARAWAYHAVEN_CORE_ENDPOINT_ANSWER_H_

#include <string>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Result of a command on an endpoint.
enum class EndpointStatus {
  kOk,
  /// The data is older than `max_age` or behind `min_position`; nothing was
  /// executed.
  kBehind,
  /// The command's term is lower than the endpoint's; nothing was executed.
  kStaleTerm,
  /// The endpoint is not the primary of the command's term; nothing was
  /// executed.
  kNotPrimary,
  /// All slots are in use, or a lock is held; nothing was executed.
  kBusy,
  /// A constraint refused the statement; it was executed and had no effect.
  kConflict,
  /// The request id has a cancel marker for this attempt; nothing was executed.
  kCancelled,
  /// The request id was executed before; the payload is the recorded outcome.
  kDuplicate,
  /// kFence: the term has been granted to another candidate.
  kRefused,
  /// The statement failed and had no effect.
  kError,
};

enum class EndpointRole { kReplica, kPrimary };

/// The answer to one EndpointCommand.
struct EndpointAnswer {
  CorrelationId correlation = 0;
  EndpointStatus status = EndpointStatus::kOk;
  /// Highest term that the endpoint has granted or adopted.
  Term term = 0;
  EndpointRole role = EndpointRole::kReplica;
  /// Last entry of the endpoint's log. For kExecute and kCommit of a write: the
  /// log entry of that write. For kConfirm: the entry that a replica has
  /// stored.
  LogPosition position;
  /// kResolve: true when an outcome is recorded for the request id; `payload`
  /// then contains it.
  bool ran = false;
  /// Age of the endpoint's data, measured with the endpoint's clock.
  Duration age{0};
  /// CPU time of the statement on the endpoint.
  Duration run_time{0};
  /// The endpoint is draining and should get no new work.
  bool leaving = false;
  /// Primary of `term`; empty when the endpoint does not know it.
  EndpointName primary;
  std::string payload;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ENDPOINT_ANSWER_H_
