#ifndef CARAWAYHAVEN_CORE_SESSION_ROUTER_LIMITS_H_
#define CARAWAYHAVEN_CORE_SESSION_ROUTER_LIMITS_H_

#include "carawayhaven/time.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

// Limits shared by the source files of the session router.

// Assumed run time of a statement on an endpoint without response times.
inline constexpr Duration kAssumedRunTime = std::chrono::milliseconds(15);
// A reply that arrives within this time after the deadline leaves the
// connection usable; after that the connection is considered dead.
inline constexpr Duration kLateAnswerGrace = std::chrono::milliseconds(1000);
// Number of attempts, hedged ones included, after which a statement is neither
// hedged nor retried after a lost connection. Refused statements are retried
// until their deadline.
inline constexpr unsigned kMaxAttempts = 4;

// For this time after a faulty answer, the connections to the endpoint are not
// used again after an error or a transaction, whose answers carry no proof, and
// its refusals of statements with an effect are not passed on as promises.
inline constexpr Duration kFaultMemory = std::chrono::seconds(60);

/// Returns the result of a statement that received no reply.
inline JobResult UnansweredResult(JobResult::End end,
                                  const EndpointName& endpoint) {
  JobResult result;
  result.end = end;
  result.endpoint = endpoint;
  return result;
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ROUTER_LIMITS_H_
