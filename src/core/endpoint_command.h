#ifndef CARAWAYHAVEN_CORE_ENDPOINT_COMMAND_H_
#define CARAWAYHAVEN_CORE_ENDPOINT_COMMAND_H_

#include <optional>
#include <string>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

enum class EndpointOperation {
  kExecute,
  kBegin,
  kCommit,
  kRollback,
  kResolve,
  kConfirm,
  kStatus,
  kFence,
  kPromote,
  kFollow,
};

/// A command on one connection to an endpoint. An operation ignores each field
/// whose comment lists operations without naming that one.
struct EndpointCommand {
  EndpointOperation operation = EndpointOperation::kStatus;
  /// Unique on the connection.
  CorrelationId correlation = 0;
  /// Term of the group that the sender knows. The endpoint refuses a command of
  /// a term lower than its own.
  Term term = 0;
  /// kExecute: the statement.
  std::string statement;
  std::string parameters = "[]";
  AccessMode access = AccessMode::kRead;
  /// kExecute (writes outside a transaction), kCommit, kResolve.
  RequestId id;
  /// kExecute of a read: maximum age and minimum log position of the data.
  /// kConfirm: `min_position` is the log position that a replica must have
  /// stored.
  std::optional<Duration> max_age;
  LogPosition min_position;
  /// kFence, kPromote: the VM that sends the command. An endpoint grants a term
  /// to one candidate only.
  VmName candidate;
  /// kPromote, kFollow: the new primary.
  EndpointName primary;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ENDPOINT_COMMAND_H_
