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
  /// Nothing is outstanding; no attempt can have an effect any more.
  kWaiting,
  kForwarded,
  /// An attempt may have run; a resolve is to be sent.
  kResolveWaiting,
  kResolving,
  kEnded,
};

/// Life of one request in a front, from Submit to its outcome.
struct RequestState {
  RequestKey key = 0;
  /// As the caller sent it, with the id and attempt in use.
  Request request;
  std::function<void(const Outcome&)> done;

  RequestPhase phase = RequestPhase::kWaiting;
  /// Messages without an answer. A read may have two.
  std::vector<CorrelationId> forwards;
  /// Why the last attempt ended; reported if there is no further one.
  Reason reason = Reason::kNone;

  /// Owners that were lost, left or did not answer.
  std::set<VmName> excluded_owners;
  /// Replicas that refused this read.
  std::set<EndpointName> excluded_endpoints;
  /// Endpoints that refused as not primary while `not_primary_term` was the
  /// highest term with a known primary.
  std::set<EndpointName> not_primary;
  Term not_primary_term = 0;
  /// While set: the next attempt waits for the primary of a higher term.
  std::optional<Term> awaits_term_above;

  Backoff backoff;
  /// Attempts sent at once, without back-off and retry budget.
  unsigned immediate_retries = 0;
  bool has_waited_for_replica = false;
  bool has_hedge = false;
  /// Sent by the front itself; nobody waits for its outcome.
  bool is_internal = false;

  /// True for a statement, commit or rollback of an open transaction.
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
  /// True when its effect is recorded under its request id.
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
