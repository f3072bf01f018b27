#include <algorithm>
#include <chrono>
#include <utility>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/route/deadline_split.h"
#include "core/route/request_router.h"

namespace carawayhaven {
namespace {

const EndpointConfig* FindEndpoint(const ServiceConfig& service,
                                   const EndpointName& name) {
  for (const EndpointConfig& endpoint : service.endpoints) {
    if (endpoint.name == name) return &endpoint;
  }
  return nullptr;
}

}  // namespace

void RequestRouter::Route(RequestState& state, TimePoint now) {
  const ServiceConfig* service = services_.FindService(state.request.service);
  if (service == nullptr) {
    End(state, Verdict::kNotRun, Reason::kUnknownService);
    return;
  }
  if (state.awaits_term_above) {
    state.awaits_term_above.reset();
    awaiting_primary_[service->name].erase(state.key);
  }
  if (state.is_step()) {
    SendStep(state, *service, now);
  } else if (state.accepts_replica()) {
    RouteRead(state, *service, now);
  } else {
    SendTo(state, *service, PrimaryFor(state, *service), now);
  }
}

void RequestRouter::RouteRead(RequestState& state, const ServiceConfig& service,
                              TimePoint now) {
  const ReadChoice choice = selector_.Choose(
      service, terms_.PrimaryOf(service), state.request,
      state.excluded_endpoints, !state.has_waited_for_replica, now);
  switch (choice.kind) {
    case ReadChoice::Kind::kReplica:
      SendTo(state, service, choice.endpoint, now);
      return;
    case ReadChoice::Kind::kWait:
      ++stats_.waited_reads;
      state.has_waited_for_replica = true;
      state.phase = RequestPhase::kWaiting;
      timers_.Set(state.key, now + choice.wait);
      return;
    case ReadChoice::Kind::kPrimary:
      SendTo(state, service, PrimaryFor(state, service), now);
      return;
  }
}

// Returns the primary according to the directory and the hints. After a refusal
// with kNotPrimary the other endpoints are tried in turn: an endpoint that is
// not primary refuses before it runs anything, and one of them may have been
// promoted by a proxy whose announcement has not arrived yet.
EndpointName RequestRouter::PrimaryFor(RequestState& state,
                                       const ServiceConfig& service) {
  EndpointName primary = terms_.PrimaryOf(service);
  if (state.not_primary_term != terms_.PrimaryTermOf(service)) {
    state.not_primary.clear();
  }
  if (!state.not_primary.contains(primary)) return primary;
  for (const EndpointConfig& endpoint : service.endpoints) {
    if (!state.not_primary.contains(endpoint.name)) return endpoint.name;
  }
  state.not_primary.clear();
  return primary;
}

void RequestRouter::RecordNotPrimary(RequestState& state,
                                     const EndpointName& endpoint) {
  const ServiceConfig* service = services_.FindService(state.request.service);
  if (service == nullptr) return;
  const Term term = terms_.PrimaryTermOf(*service);
  if (state.not_primary_term != term) state.not_primary.clear();
  state.not_primary_term = term;
  state.not_primary.insert(endpoint);
}

// The owner's deadline of a write is earlier than the caller's, so that time
// for a resolve is left.
Request RequestRouter::MakeForwardedRequest(const RequestState& state,
                                            TimePoint now) {
  Request message = state.request;
  if (state.is_resolvable()) {
    message.deadline -=
        ReserveOf(state.request.service).For(state.request.deadline - now);
  }
  return message;
}

void RequestRouter::SendTo(RequestState& state, const ServiceConfig& service,
                           const EndpointName& endpoint, TimePoint now) {
  const EndpointConfig* config = FindEndpoint(service, endpoint);
  std::optional<PendingForward> forward;
  if (config != nullptr) {
    forward = forwarder_.Forward(state.key, *config, terms_.TermOf(service),
                                 MakeForwardedRequest(state, now),
                                 state.excluded_owners, now);
  }
  if (!forward) {
    state.excluded_owners.clear();
    if (state.reason == Reason::kNone) state.reason = Reason::kPeerLost;
    if (endpoint != terms_.PrimaryOf(service)) {
      state.excluded_endpoints.insert(endpoint);
    }
    RetryAfterBackoff(state, RequestPhase::kWaiting, now);
    return;
  }
  AddForward(state, *forward);
  state.phase = RequestPhase::kForwarded;
  const Duration left = state.request.deadline - now;
  TimePoint timer = state.request.deadline;
  if (state.accepts_replica() && !state.hedge_attempted) {
    timer = now + HedgeDelay(left);
  } else if (state.is_resolvable()) {
    const Duration reserve = ReserveOf(state.request.service).For(left);
    timer -= reserve - ReplyGrace(reserve);
  }
  timers_.Set(state.key, timer);
}

void RequestRouter::SendStep(RequestState& state, const ServiceConfig& service,
                             TimePoint now) {
  const TransactionId id = state.request.transaction;
  const OpenTransaction* found = transactions_.Find(id);
  if (found == nullptr) {
    End(state, Verdict::kNotRun, Reason::kUnknownTransaction);
    return;
  }
  const OpenTransaction transaction = *found;
  const bool is_over = terms_.TermOf(service) > transaction.term;
  if (is_over && state.request.kind != RequestKind::kRollback) {
    transactions_.Remove(id);
    RollBack(id, transaction, now);
    End(state, Verdict::kNotRun, Reason::kStaleTerm);
    return;
  }
  const auto forward = forwarder_.ForwardTo(
      transaction.owner, state.key, transaction.endpoint, transaction.term,
      MakeForwardedRequest(state, now), now);
  if (!forward) {
    transactions_.Remove(id);
    End(state, Verdict::kNotRun, Reason::kPeerLost);
    return;
  }
  AddForward(state, *forward);
  state.phase = RequestPhase::kForwarded;
  TimePoint timer = state.request.deadline;
  if (state.is_resolvable()) {
    const Duration reserve = ReserveOf(state.request.service).For(timer - now);
    timer -= reserve - ReplyGrace(reserve);
  }
  timers_.Set(state.key, timer);
}

void RequestRouter::SendResolve(RequestState& state, TimePoint now) {
  const ServiceConfig* service = services_.FindService(state.request.service);
  const EndpointConfig* primary = nullptr;
  if (service != nullptr) {
    primary = FindEndpoint(*service, PrimaryFor(state, *service));
  }
  state.awaits_term_above.reset();
  awaiting_primary_[state.request.service].erase(state.key);
  std::optional<PendingForward> forward;
  if (primary != nullptr) {
    Request message = state.request;
    message.kind = RequestKind::kResolve;
    message.transaction.clear();
    forward = forwarder_.Forward(state.key, *primary, terms_.TermOf(*service),
                                 message, state.excluded_owners, now);
  }
  if (!forward) {
    state.excluded_owners.clear();
    RetryAfterBackoff(state, RequestPhase::kResolveWaiting, now);
    return;
  }
  ++stats_.resolves;
  AddForward(state, *forward);
  state.phase = RequestPhase::kResolving;
  // A resolve may be repeated any number of times, and the answer to any copy
  // settles the request.
  constexpr Duration kMinResolveTimeout = std::chrono::milliseconds(20);
  const Duration resolve_timeout = std::max(
      kMinResolveTimeout, ReserveOf(state.request.service).ResponseTime());
  timers_.Set(state.key,
              std::min(state.request.deadline, now + resolve_timeout));
}

// The first forward stays pending: if a long read were started again each time,
// it would never end. The hedge goes only to another endpoint, since a second
// owner of the same endpoint would split its queue while it is overloaded.
void RequestRouter::SendHedge(RequestState& state, TimePoint now) {
  timers_.Set(state.key, state.request.deadline);
  state.hedge_attempted = true;
  const ServiceConfig* service = services_.FindService(state.request.service);
  if (service == nullptr) return;
  for (const CorrelationId correlation : state.forwards) {
    const PendingForward* forward = forwarder_.Find(correlation);
    if (forward != nullptr) state.excluded_endpoints.insert(forward->endpoint);
  }
  EndpointName endpoint = PrimaryFor(state, *service);
  const ReadChoice choice = selector_.Choose(
      *service, endpoint, state.request, state.excluded_endpoints, false, now);
  if (choice.kind == ReadChoice::Kind::kReplica) endpoint = choice.endpoint;
  const EndpointConfig* config = FindEndpoint(*service, endpoint);
  if (config == nullptr || state.excluded_endpoints.contains(endpoint)) return;
  if (!BudgetOf(service->name).TryTake(now)) {
    ++stats_.retries_refused;
    return;
  }
  const auto forward =
      forwarder_.Forward(state.key, *config, terms_.TermOf(*service),
                         state.request, state.excluded_owners, now);
  if (!forward) return;
  ++stats_.retries;
  AddForward(state, *forward);
}

void RequestRouter::AddForward(RequestState& state,
                               const PendingForward& forward) {
  state.forwards.push_back(forward.correlation);
  selector_.OnForwardSent(forward.endpoint);
}

}  // namespace carawayhaven
