#ifndef CARAWAYHAVEN_CORE_SESSION_ANSWER_OBSERVER_H_
#define CARAWAYHAVEN_CORE_SESSION_ANSWER_OBSERVER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/session/answer_fault.h"

namespace carawayhaven {

/// What a connection to an endpoint was doing.
enum class ConnectionPhase : std::uint8_t {
  kOpening,
  kIdle,
  /// A statement of the proxy that prepares the connection for a caller's.
  kSetup,
  kStatement,
  /// A statement in a transaction.
  kTransaction,
  kRollback,
  /// A statement whose caller left or was told that there is no answer in time.
  kAbandoned,
  /// A query for the replication status.
  kProbe,
  /// A statement that shows whether a refusal belongs to a caller's statement.
  kConfirmation,
};
/// Returns the stable name for logs and metrics, for example "setup".
std::string_view ConnectionPhaseName(ConnectionPhase phase);

/// Something that an endpoint sent and that is not known to be the answer to
/// the statement that waited for one.
struct FaultyAnswer {
  std::string_view endpoint;
  ConnectionId connection = 0;
  AnswerFault fault = AnswerFault::kNone;
  ConnectionPhase phase = ConnectionPhase::kIdle;
  /// Id of the caller's statement that waited; empty if there was none.
  std::string_view id;
  /// Ids of the callers' statements that were answered before on the
  /// connection, oldest first; the latest ones only.
  std::vector<std::string_view> earlier_ids;
  /// Number of answers that the connection received before.
  std::uint64_t earlier_answers = 0;
  /// Time since the previous answer; negative if there was none.
  Duration since_answer{-1};
  /// Time since the statement was sent; negative if none waited.
  Duration since_sent{-1};
};

/// Receives the faulty answers of endpoints for logs and metrics.
class AnswerObserver {
 public:
  virtual ~AnswerObserver() = default;

  /// Views in `answer` are valid during the call.
  virtual void OnFaultyAnswer(const FaultyAnswer& answer) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ANSWER_OBSERVER_H_
