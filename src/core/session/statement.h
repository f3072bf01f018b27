#ifndef CARAWAYHAVEN_CORE_SESSION_STATEMENT_H_
#define CARAWAYHAVEN_CORE_SESSION_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/request.h"
#include "core/session/reply_code.h"

namespace carawayhaven {

enum class StatementKind : std::uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kDeallocate,
  /// The text is no statement.
  kMalformed,
};

/// A statement of a caller.
struct CallerStatement {
  StatementKind kind = StatementKind::kMalformed;
  /// The caller's id; it is passed on with the statement.
  std::string id;
  /// The statement as the caller wrote it.
  std::string text;
  /// kSet: the variable. kPrepare, kExecute, kDeallocate: the prepared name.
  std::string name;
  /// kSet: the value. kPrepare: the shape. kExecute: the arguments.
  std::string value;
  /// kPrepare: what the prepared statement does.
  AccessMode access = AccessMode::kRead;
};

enum class EndpointStatementKind : std::uint8_t {
  /// A caller's statement, passed on with its id and text.
  kCaller,
  /// A caller's execution of the prepared statement `name`.
  kExecute,
  kBegin,
  kBeginReadOnly,
  kRollback,
  kReset,
  kSet,
  kPrepare,
  kStatus,
  /// Makes a primary of a lower term than `term` a replica.
  kStepDown,
};

/// A statement for an endpoint. Fields that a kind does not use are ignored.
struct EndpointStatement {
  EndpointStatementKind kind = EndpointStatementKind::kStatus;
  /// Empty for statements of the proxy itself.
  std::string id;
  std::string text;
  std::string name;
  std::string value;
  AccessMode access = AccessMode::kRead;
  /// Reads and begins: the endpoint refuses unless its log has reached it.
  std::optional<LogPosition> min_position;
  Term term = 0;
};

enum class TransactionState : std::uint8_t { kIdle, kOpen, kFailed };

/// What an endpoint says of its replication.
struct ReplicationStatus {
  bool is_primary = false;
  /// Term that it leads or follows.
  Term term = 0;
  /// End of the log that it has received; it may be applied later.
  LogPosition received;
};

/// The answer to one statement.
struct StatementReply {
  ReplyCode code = ReplyCode::kOk;
  /// Error text; empty on success.
  std::string message;
  std::vector<std::string> rows;
  /// Proof of the endpoint that it ran the statement; empty when the proxy
  /// itself answered.
  std::string signature;
  TransactionState state = TransactionState::kIdle;
  /// End of the endpoint's log when it answered.
  std::optional<LogPosition> position;
  /// Set in answers to kStatus and kStepDown.
  std::optional<ReplicationStatus> replication;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_STATEMENT_H_
