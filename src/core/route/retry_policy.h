#ifndef CARAWAYHAVEN_CORE_ROUTE_RETRY_POLICY_H_
#define CARAWAYHAVEN_CORE_ROUTE_RETRY_POLICY_H_

#include "carawayhaven/outcome.h"

namespace carawayhaven {

/// What follows an attempt that is certain not to have run.
enum class RetryClass {
  /// The reason is final.
  kNoRetry,
  /// Another place can serve it: sent there at once, without retry budget,
  /// since each place is asked once.
  kOtherTarget,
  /// The primary changes or is out of reach: waits for a new term with
  /// back-off. Attempts before the new term is known cost retry budget.
  kAwaitPrimary,
  /// The same place, after a back-off; costs retry budget.
  kBackOff,
  /// The attempt is cancelled: sent at once with a higher one.
  kNextAttempt,
};

/// Returns the class of a kNotRun outcome with that reason. `from_replica` is
/// true for a read that was sent to a replica.
RetryClass ClassifyNotRun(Reason reason, bool from_replica);

/// True when a transaction is still open after a statement that did not run for
/// that reason.
bool LeavesTransactionOpen(Reason reason);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_RETRY_POLICY_H_
