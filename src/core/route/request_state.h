#ifndef CARAWAYHAVEN_CORE_ROUTE_REQUEST_STATE_H_
#define CARAWAYHAVEN_CORE_ROUTE_REQUEST_STATE_H_

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "core/limits/backoff.h"
#include "core/route/forwarder.h"

namespace carawayhaven {

enum class RequestPhase {
  /// No message is outstanding, and no earlier attempt can take effect any
  /// more.
  kWaiting,
  kForwarded,
  /// An attempt may have run, and a resolve has to be sent.
  kResolveWaiting,
  kResolving,
  kEnded,
};

/// State of one request in a request router, from Submit to its outcome.
struct RequestState {
  RequestKey key = 0;
  /// Request of the caller, with the request id and attempt in use.
  Request request;
  std::function<void(const Outcome&)> done;

  RequestPhase phase = RequestPhase::kWaiting;
  /// Correlation ids of the messages without an answer. A hedged read may have
  /// two.
  std::vector<CorrelationId> forwards;
  /// Why the last attempt ended; reported when no further attempt follows.
  Reason reason = Reason::kNone;

  /// Pool owners that were lost, are leaving or did not answer.
  std::set<VmName> excluded_owners;
  /// Endpoints that are not tried again for this read: replicas that refused it
  /// or did not answer in time.
  std::set<EndpointName> excluded_endpoints;
  /// Endpoints that refused with kNotPrimary while `not_primary_term` was the
  /// highest term with a known primary.
  std::set<EndpointName> not_primary;
  Term not_primary_term = 0;
  /// When set, the next attempt waits for the primary of a higher term.
  std::optional<Term> awaits_term_above;

  Backoff backoff;
  /// Number of attempts sent at once, without back-off and retry budget.
  unsigned immediate_retries = 0;
  bool has_waited_for_replica = false;
  /// True once the time for a hedge has come, also when none could be sent.
  bool hedge_attempted = false;
  /// The router itself sent the request; its outcome is not reported.
  bool is_internal = false;

  /// Returns true for a statement, commit or rollback of an open transaction.
  bool is_step() const {
    return !request.transaction.empty() &&
           request.kind != RequestKind::kBegin &&
           request.kind != RequestKind::kResolve;
  }
  bool is_read() const {
    return request.kind == RequestKind::kStatement && !is_step() &&
           request.access == AccessMode::kRead;
  }
  bool accepts_replica() const {
    return is_read() && request.max_age.has_value();
  }
  /// Returns true when the endpoint records the effect under the request id, so
  /// that a resolve can settle the request.
  bool is_resolvable() const {
    if (request.kind == RequestKind::kCommit) return true;
    return request.kind == RequestKind::kStatement && !is_step() &&
           request.access == AccessMode::kWrite;
  }
  bool may_have_run() const {
    return phase == RequestPhase::kResolveWaiting ||
           phase == RequestPhase::kResolving;
  }
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REQUEST_STATE_H_
