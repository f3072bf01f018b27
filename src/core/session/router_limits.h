#ifndef CARAWAYHAVEN_CORE_SESSION_ROUTER_LIMITS_H_
#define CARAWAYHAVEN_CORE_SESSION_ROUTER_LIMITS_H_

#include "carawayhaven/time.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

// Limits that several parts of the session router share.

// Run time assumed of a statement on an endpoint that was not used yet.
inline constexpr Duration kAssumedRunTime = std::chrono::milliseconds(15);
// An answer that is just late leaves the connection usable; after that the
// connection counts as silent.
inline constexpr Duration kLateAnswerGrace = std::chrono::milliseconds(1000);
// Attempts of one statement, hedges included.
inline constexpr unsigned kMaxAttempts = 4;

/// The result of a statement that got no answer.
inline JobResult UnansweredResult(JobResult::End end,
                                  const EndpointName& endpoint) {
  JobResult result;
  result.end = end;
  result.endpoint = endpoint;
  return result;
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ROUTER_LIMITS_H_
