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
  /// The text is not a valid statement.
  kMalformed,
};

/// A statement of a caller.
struct CallerStatement {
  StatementKind kind = StatementKind::kMalformed;
  /// The caller's id of the statement; passed on to the endpoint.
  std::string id;
  /// The statement text exactly as the caller sent it.
  std::string text;
  /// kSet: the name of the variable. kPrepare, kExecute, kDeallocate: the name
  /// of the prepared statement.
  std::string name;
  /// kSet: the value. kPrepare: the shape. kExecute: the arguments.
  std::string value;
  /// kPrepare: whether the prepared statement reads or writes.
  AccessMode access = AccessMode::kRead;
};

enum class EndpointStatementKind : std::uint8_t {
  /// A caller's statement, passed on with its id and text.
  kCaller,
  /// Executes the prepared statement `name` for a caller.
  kExecute,
  kBegin,
  kBeginReadOnly,
  kRollback,
  kReset,
  kSet,
  kPrepare,
  kStatus,
  /// Demotes the endpoint to a replica if it is a primary of a lower term than
  /// `term`.
  kStepDown,
};

/// A statement sent to an endpoint. Fields that a kind does not use are
/// ignored.
struct EndpointStatement {
  EndpointStatementKind kind = EndpointStatementKind::kStatus;
  /// Empty for statements that the proxy issues itself.
  std::string id;
  std::string text;
  std::string name;
  std::string value;
  AccessMode access = AccessMode::kRead;
  /// The statement is a caller's COMMIT.
  bool commits = false;
  /// For reads and the begin of a transaction: the endpoint refuses the
  /// statement unless its log has reached this position.
  std::optional<LogPosition> min_position;
  Term term = 0;
};

enum class TransactionState : std::uint8_t { kIdle, kOpen, kFailed };

/// Replication status that an endpoint reports.
struct ReplicationStatus {
  bool is_primary = false;
  /// Term in which the endpoint is the primary or a replica.
  Term term = 0;
  /// End of the log that the endpoint has received; entries may not be applied
  /// yet.
  LogPosition received;
};

/// The reply to one statement.
struct StatementReply {
  ReplyCode code = ReplyCode::kOk;
  /// Error text; empty on success.
  std::string message;
  std::vector<std::string> rows;
  /// Signature by which the endpoint proves that it ran the statement; empty if
  /// the proxy itself replied.
  std::string signature;
  TransactionState state = TransactionState::kIdle;
  /// End of the endpoint's log when it replied.
  std::optional<LogPosition> position;
  /// Set in replies to kStatus and kStepDown.
  std::optional<ReplicationStatus> replication;
  /// A row contains what starts a row on the wire.
  bool has_joined_rows = false;
  /// More bytes arrived with the reply although no other statement waited.
  bool is_followed = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_STATEMENT_H_
