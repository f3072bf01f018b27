#ifndef CARAWAYHAVEN_CORE_ROUTE_RETRY_POLICY_H_
#define CARAWAYHAVEN_CORE_ROUTE_RETRY_POLICY_H_

#include "carawayhaven/outcome.h"

namespace carawayhaven {

/// How to continue after an attempt that is certain not to have run.
enum class RetryClass {
  /// The reason is final; the request ends.
  kNoRetry,
  /// Another owner or endpoint can serve the request: it is sent there at once
  /// and without retry budget, since each target is tried only once.
  kOtherTarget,
  /// The primary is changing or unreachable: waits for a new term with
  /// back-off. Attempts before the new term is known use retry budget.
  kAwaitPrimary,
  /// The same target is tried again after a back-off; uses retry budget.
  kBackOff,
  /// The attempt number was cancelled: the request is sent at once with a
  /// higher one.
  kNextAttempt,
};

/// Returns the class of a kNotRun outcome with that reason. `from_replica` is
/// true for a read that was sent to a replica.
RetryClass ClassifyNotRun(Reason reason, bool from_replica);

/// Returns true when a transaction is still open after one of its statements
/// did not run for that reason.
bool LeavesTransactionOpen(Reason reason);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_RETRY_POLICY_H_
