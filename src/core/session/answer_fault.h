#ifndef CARAWAYHAVEN_CORE_SESSION_ANSWER_FAULT_H_
#define CARAWAYHAVEN_CORE_SESSION_ANSWER_FAULT_H_

#include <cstdint>
#include <string_view>

namespace carawayhaven {

/// Why what an endpoint sent is not known to be the whole answer to the
/// statement that waits for one.
enum class AnswerFault : std::uint8_t {
  kNone,
  /// Not a message of an endpoint, or without the end of its line.
  kMalformed,
  /// A part of the answer is missing, repeated or out of order.
  kIncomplete,
  /// No statement was waiting for an answer.
  kUnrequested,
  /// A success without the signature that the statement requires.
  kUnsigned,
  /// A signature in the answer to a statement that is not signed.
  kUnexpectedSignature,
  kUnexpectedRows,
  /// The statement cannot leave the connection in this transaction state.
  kUnexpectedState,
  /// An error code that the statement cannot have.
  kUnexpectedCode,
  /// The end of the log as of an earlier answer. Also the first answer after an
  /// endpoint discarded commits at a change of the primary.
  kStalePosition,
  /// The signature of an earlier answer.
  kRepeatedSignature,
  /// The first row of an earlier answer to another statement.
  kRepeatedRow,
  /// A row that may be two rows whose line end was lost.
  kJoinedRows,
};

/// Returns the stable name for logs and metrics, for example "unsigned".
std::string_view AnswerFaultName(AnswerFault fault);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ANSWER_FAULT_H_
