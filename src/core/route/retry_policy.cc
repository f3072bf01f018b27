#include "core/route/retry_policy.h"

namespace carawayhaven {

RetryClass ClassifyNotRun(Reason reason, bool from_replica) {
  switch (reason) {
    case Reason::kLeaving:
    case Reason::kPeerLost:
      return RetryClass::kOtherTarget;
    case Reason::kBehind:
    case Reason::kStaleTerm:
    case Reason::kNotPrimary:
    case Reason::kConnectionLost:
      return from_replica ? RetryClass::kOtherTarget
                          : RetryClass::kAwaitPrimary;
    case Reason::kBusy:
      return from_replica ? RetryClass::kOtherTarget : RetryClass::kBackOff;
    case Reason::kCancelled:
      return RetryClass::kNextAttempt;
    case Reason::kNone:
    case Reason::kInvalidRequest:
    case Reason::kUnknownService:
    case Reason::kDeadline:
    case Reason::kOverloaded:
    case Reason::kConstraint:
    case Reason::kUnknownTransaction:
    case Reason::kStatementError:
      return RetryClass::kNoRetry;
  }
  return RetryClass::kNoRetry;
}

bool LeavesTransactionOpen(Reason reason) {
  switch (reason) {
    case Reason::kInvalidRequest:
    case Reason::kDeadline:
    case Reason::kOverloaded:
    case Reason::kBehind:
    case Reason::kBusy:
    case Reason::kConstraint:
    case Reason::kStatementError:
      return true;
    default:
      return false;
  }
}

}  // namespace carawayhaven
