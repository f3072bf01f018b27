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

/// A command on one connection to an endpoint. Fields that an operation does
/// not name in its comment are ignored by it.
struct EndpointCommand {
  EndpointOperation operation = EndpointOperation::kStatus;
  /// Unique on its connection.
  CorrelationId correlation = 0;
  /// Term of the group as the sender knows it; a lower one is refused.
  Term term = 0;
  /// kExecute: the statement.
  std::string statement;
  std::string parameters = "[]";
  AccessMode access = AccessMode::kRead;
  /// kExecute (writes outside a transaction), kCommit, kResolve.
  RequestId id;
  /// kExecute of a read: greatest age and least position of the data.
  /// kConfirm: `min_position` is what a replica has to hold.
  std::optional<Duration> max_age;
  LogPosition min_position;
  /// kFence, kPromote: the VM that asks. A term is granted to one candidate.
  VmName candidate;
  /// kPromote, kFollow: the new primary.
  EndpointName primary;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ENDPOINT_COMMAND_H_
