#include <algorithm>
#include <chrono>
#include <utility>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/mutation.h"
#include "core/route/attempt.h"
#include "core/route/deadline_split.h"
#include "core/route/request_router.h"
#include "core/route/retry_policy.h"

namespace carawayhaven {
namespace {

// Limit for the attempts of one request without back-off: each of three
// endpoints with a first and a second owner, and a change of term in between.
constexpr unsigned kMaxImmediateRetries = 8;
// Timeout for the rollback of a transaction whose outcome is not reported.
constexpr Duration kRollbackTimeout = std::chrono::seconds(2);

}  // namespace

void RequestRouter::OnOutcome(RequestState& state,
                              const PendingForward& forward,
                              const ForwardReplyMessage& reply, TimePoint now) {
  if (forward.resolves) {
    OnResolved(state, forward, reply, now);
    return;
  }
  if (state.may_have_run()) {
    // A late answer to the attempt that is being resolved. Only kRan is final.
    if (reply.outcome.verdict == Verdict::kRan &&
        !IsOfOlderTerm(state.request.service, reply.term)) {
      End(state, reply.outcome);
    }
    return;
  }
  if (state.request.kind == RequestKind::kBegin) {
    OnBeginOutcome(state, forward, reply, now);
    return;
  }
  if (state.is_step()) {
    OnStepOutcome(state, forward, reply, now);
    return;
  }
  const Outcome& outcome = reply.outcome;
  switch (outcome.verdict) {
    case Verdict::kRan:
      // A primary of an older term may have been replaced before it answered,
      // so its answer is handled like a missing one.
      if (!outcome.from_replica &&
          IsOfOlderTerm(state.request.service, reply.term)) {
        OnNoAnswer(state, forward, Reason::kStaleTerm, now);
        return;
      }
      End(state, outcome);
      return;
    case Verdict::kMayHaveRun:
      OnNoAnswer(state, forward, outcome.reason, now);
      return;
    case Verdict::kNotRun:
      OnNotRun(state, forward, outcome, now);
      return;
  }
}

void RequestRouter::OnNotRun(RequestState& state, const PendingForward& forward,
                             const Outcome& outcome, TimePoint now) {
  const ServiceConfig* service = services_.FindService(state.request.service);
  const bool replica = state.accepts_replica() && service != nullptr &&
                       forward.endpoint != terms_.PrimaryOf(*service);
  // After kStaleTerm the same replica can serve the read with the newer term.
  const bool newer_term = outcome.reason == Reason::kStaleTerm &&
                          IsOfOlderTerm(state.request.service, forward.term);
  if (replica && !newer_term) state.excluded_endpoints.insert(forward.endpoint);
  if (!state.forwards.empty()) return;
  state.reason = outcome.reason;
  switch (ClassifyNotRun(outcome.reason, replica)) {
    case RetryClass::kNoRetry:
      End(state, outcome);
      return;
    case RetryClass::kOtherTarget:
      if (!replica || outcome.reason == Reason::kLeaving) {
        state.excluded_owners.insert(forward.owner);
      }
      RetryImmediately(state, now);
      return;
    case RetryClass::kAwaitPrimary: {
      if (outcome.reason == Reason::kNotPrimary) {
        RecordNotPrimary(state, forward.endpoint);
      }
      const bool retries_at_once =
          newer_term || KnowsOtherPrimary(state, forward);
      if (retries_at_once) {
        RetryImmediately(state, now);
      } else {
        AwaitPrimary(state, now);
      }
      return;
    }
    case RetryClass::kBackOff:
      RetryLater(state, now);
      return;
    case RetryClass::kNextAttempt:
      if (!state.is_resolvable() || attempt::IsLast(state.request.id.attempt)) {
        End(state, outcome);
        return;
      }
      state.request.id.attempt =
          attempt::AfterCancelled(state.request.id.attempt);
      ++stats_.retries;
      Route(state, now);
      return;
  }
}

void RequestRouter::OnNoAnswer(RequestState& state,
                               const PendingForward& forward, Reason reason,
                               TimePoint now) {
  if (state.phase == RequestPhase::kEnded) return;
  if (forward.resolves) {
    RepeatResolve(state, now);
    return;
  }
  // The attempt without an answer is the one that is being resolved.
  if (state.may_have_run()) return;
  state.reason = reason;
  if (MutationEnabled(Mutation::kRetryAfterSend) && state.is_resolvable() &&
      !state.is_step() && now < state.request.deadline) {
    ++state.request.id.attempt;
    RetryImmediately(state, now);
    return;
  }
  if (state.is_resolvable()) {
    if (state.is_step()) transactions_.Remove(state.request.transaction);
    StartResolve(state, reason, now);
    return;
  }
  if (state.is_read()) {
    const ServiceConfig* service = services_.FindService(state.request.service);
    if (service != nullptr && forward.endpoint != terms_.PrimaryOf(*service) &&
        reason != Reason::kPeerLost) {
      state.excluded_endpoints.insert(forward.endpoint);
    }
    if (!state.forwards.empty()) return;
    if (now >= state.request.deadline) {
      End(state, Verdict::kNotRun, Reason::kDeadline);
      return;
    }
    if (reason == Reason::kStaleTerm && service != nullptr &&
        terms_.PrimaryOf(*service) == forward.endpoint) {
      AwaitPrimary(state, now);
    } else {
      RetryImmediately(state, now);
    }
    return;
  }
  // An uncommitted transaction has no effect, but its connection may still be
  // open, so it is rolled back.
  const TransactionId id = state.request.transaction;
  const OpenTransaction transaction{state.request.service, forward.endpoint,
                                    forward.owner, forward.term};
  transactions_.Remove(id);
  if (reason != Reason::kPeerLost &&
      state.request.kind != RequestKind::kRollback) {
    RollBack(id, transaction, now);
  }
  End(state, Verdict::kNotRun, reason);
}

void RequestRouter::OnResolved(RequestState& state,
                               const PendingForward& forward,
                               const ForwardReplyMessage& reply,
                               TimePoint now) {
  const Outcome& outcome = reply.outcome;
  const bool settled = outcome.verdict == Verdict::kRan ||
                       (outcome.verdict == Verdict::kNotRun &&
                        (outcome.reason == Reason::kNone ||
                         outcome.reason == Reason::kCancelled));
  if (!settled) {
    if (outcome.reason == Reason::kNotPrimary) {
      RecordNotPrimary(state, forward.endpoint);
    }
    if (outcome.reason == Reason::kLeaving ||
        outcome.reason == Reason::kPeerLost) {
      state.excluded_owners.insert(forward.owner);
    }
    const bool can_repeat_at_once =
        outcome.reason == Reason::kLeaving ||
        IsOfOlderTerm(state.request.service, forward.term) ||
        KnowsOtherPrimary(state, forward);
    if (can_repeat_at_once) {
      RepeatResolve(state, now);
    } else {
      AwaitPrimary(state, now);
    }
    return;
  }
  if (IsOfOlderTerm(state.request.service, reply.term)) {
    const ServiceConfig* service = services_.FindService(state.request.service);
    if (service != nullptr && terms_.PrimaryOf(*service) == forward.endpoint) {
      AwaitPrimary(state, now);
    } else {
      RepeatResolve(state, now);
    }
    return;
  }
  if (outcome.verdict == Verdict::kRan) {
    End(state, outcome);
    return;
  }
  // The resolve cancelled all attempts up to this one, so none of them can run
  // any more.
  DropForwards(state);
  state.phase = RequestPhase::kWaiting;
  const bool is_write = state.request.kind == RequestKind::kStatement;
  if (!is_write || attempt::IsLast(state.request.id.attempt)) {
    End(state, Verdict::kNotRun,
        state.reason == Reason::kNone ? Reason::kCancelled : state.reason);
    return;
  }
  if (!MutationEnabled(Mutation::kKeepAttemptAfterResolve)) {
    ++state.request.id.attempt;
  }
  if (state.request.deadline - now < kMinAttemptTime) {
    End(state, Verdict::kNotRun, state.reason);
    return;
  }
  if (!BudgetOf(state.request.service).TryTake(now)) {
    ++stats_.retries_refused;
    End(state, Verdict::kNotRun, state.reason);
    return;
  }
  ++stats_.retries;
  Route(state, now);
}

void RequestRouter::OnBeginOutcome(RequestState& state,
                                   const PendingForward& forward,
                                   const ForwardReplyMessage& reply,
                                   TimePoint now) {
  Outcome outcome = reply.outcome;
  const bool is_older_term = IsOfOlderTerm(state.request.service, reply.term);
  if (outcome.verdict == Verdict::kNotRun) {
    OnNotRun(state, forward, outcome, now);
  } else if (outcome.verdict == Verdict::kMayHaveRun || is_older_term) {
    OnNoAnswer(state, forward,
               is_older_term ? Reason::kStaleTerm : outcome.reason, now);
  } else {
    transactions_.Add(state.request.transaction,
                      {state.request.service, forward.endpoint, forward.owner,
                       std::max(forward.term, reply.term)});
    if (outcome.payload.empty()) outcome.payload = state.request.transaction;
    End(state, std::move(outcome));
  }
}

void RequestRouter::OnStepOutcome(RequestState& state,
                                  const PendingForward& forward,
                                  const ForwardReplyMessage& reply,
                                  TimePoint now) {
  const Outcome& outcome = reply.outcome;
  const bool is_commit = state.request.kind == RequestKind::kCommit;
  const bool is_rollback = state.request.kind == RequestKind::kRollback;
  const bool outcome_unknown = outcome.verdict == Verdict::kMayHaveRun;
  const bool is_older_term = outcome.verdict == Verdict::kRan && is_commit &&
                             IsOfOlderTerm(state.request.service, reply.term);
  if (outcome_unknown || is_older_term) {
    OnNoAnswer(state, forward,
               is_older_term ? Reason::kStaleTerm : outcome.reason, now);
    return;
  }
  const bool stays_open = !is_commit && !is_rollback &&
                          (outcome.verdict == Verdict::kRan ||
                           LeavesTransactionOpen(outcome.reason));
  if (!stays_open) {
    const OpenTransaction* open = transactions_.Find(state.request.transaction);
    const bool rolls_back = open != nullptr && !is_rollback &&
                            outcome.verdict == Verdict::kNotRun &&
                            outcome.reason != Reason::kUnknownTransaction;
    if (rolls_back) RollBack(state.request.transaction, *open, now);
    transactions_.Remove(state.request.transaction);
  }
  End(state, outcome);
}

void RequestRouter::StartResolve(RequestState& state, Reason reason,
                                 TimePoint now) {
  state.reason = reason;
  state.phase = RequestPhase::kResolveWaiting;
  state.immediate_retries = 0;
  if (now >= state.request.deadline) {
    End(state, Verdict::kMayHaveRun, reason);
    return;
  }
  SendResolve(state, now);
}

void RequestRouter::RepeatResolve(RequestState& state, TimePoint now) {
  state.phase = RequestPhase::kResolveWaiting;
  if (++state.immediate_retries <= kMaxImmediateRetries) {
    SendResolve(state, now);
  } else {
    RetryAfterBackoff(state, RequestPhase::kResolveWaiting, now);
  }
}

void RequestRouter::RetryImmediately(RequestState& state, TimePoint now) {
  ++stats_.retries;
  if (++state.immediate_retries <= kMaxImmediateRetries) {
    Route(state, now);
  } else {
    RetryAfterBackoff(state, RequestPhase::kWaiting, now);
  }
}

void RequestRouter::AwaitPrimary(RequestState& state, TimePoint now) {
  ++stats_.retries;
  const ServiceConfig* service = services_.FindService(state.request.service);
  if (service != nullptr) {
    state.awaits_term_above = terms_.PrimaryTermOf(*service);
    awaiting_primary_[service->name].insert(state.key);
  }
  RetryAfterBackoff(state,
                    state.may_have_run() ? RequestPhase::kResolveWaiting
                                         : RequestPhase::kWaiting,
                    now);
}

void RequestRouter::RetryLater(RequestState& state, TimePoint now) {
  if (!BudgetOf(state.request.service).TryTake(now)) {
    ++stats_.retries_refused;
    Outcome outcome;
    outcome.reason = state.reason;
    outcome.retry_after = Backoff::kMaxBound;
    End(state, std::move(outcome));
    return;
  }
  ++stats_.retries;
  RetryAfterBackoff(state, RequestPhase::kWaiting, now);
}

void RequestRouter::RetryAfterBackoff(RequestState& state, RequestPhase phase,
                                      TimePoint now) {
  constexpr Duration kMinDelay = std::chrono::milliseconds(1);
  state.phase = phase;
  const Duration delay = std::max(kMinDelay, state.backoff.Next(random_));
  timers_.Set(state.key, std::min(now + delay, state.request.deadline));
}

void RequestRouter::RollBack(const TransactionId& id,
                             const OpenTransaction& transaction,
                             TimePoint now) {
  auto state = std::make_shared<RequestState>();
  state->key = next_key_++;
  state->request.kind = RequestKind::kRollback;
  state->request.service = transaction.service;
  state->request.team = services_.TeamOf(transaction.service);
  state->request.transaction = id;
  state->request.deadline = now + kRollbackTimeout;
  state->is_internal = true;
  const auto forward =
      forwarder_.ForwardTo(transaction.owner, state->key, transaction.endpoint,
                           transaction.term, state->request, now);
  if (!forward) return;
  AddForward(*state, *forward);
  state->phase = RequestPhase::kForwarded;
  requests_.emplace(state->key, state);
  timers_.Set(state->key, state->request.deadline);
}

bool RequestRouter::IsOfOlderTerm(const ServiceName& service, Term term) const {
  const ServiceConfig* config = services_.FindService(service);
  return config != nullptr && term < terms_.TermOf(*config) &&
         !MutationEnabled(Mutation::kIgnoreHigherTerm);
}

bool RequestRouter::KnowsOtherPrimary(const RequestState& state,
                                      const PendingForward& forward) const {
  const ServiceConfig* config = services_.FindService(state.request.service);
  if (config == nullptr) return false;
  const EndpointName primary = terms_.PrimaryOf(*config);
  return primary != forward.endpoint && !state.not_primary.contains(primary);
}

bool RequestRouter::HasNewPrimary(const RequestState& state) const {
  const ServiceConfig* config = services_.FindService(state.request.service);
  return config != nullptr && state.awaits_term_above &&
         terms_.PrimaryTermOf(*config) > *state.awaits_term_above;
}

RetryBudget& RequestRouter::BudgetOf(const ServiceName& service) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end()) return found->second;
  return budgets_.emplace(service, RetryBudget(options_.retry_budget))
      .first->second;
}

ResolveReserve& RequestRouter::ReserveOf(const ServiceName& service) {
  const auto found = reserves_.find(service);
  if (found != reserves_.end()) return found->second;
  return reserves_.emplace(service, ResolveReserve(options_.resolve_reserve))
      .first->second;
}

}  // namespace carawayhaven
