#include "core/route/request_router.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/membership/owner_resolver.h"
#include "core/mutation.h"
#include "core/route/attempt.h"

namespace carawayhaven {
namespace {

// After a change of primary the owner of the old primary's pool refuses the
// requests that it holds within one round trip, 40 ms between regions. Waiting
// for that is cheaper than a resolve.
constexpr Duration kOldTermGrace = std::chrono::milliseconds(100);

Outcome NotRun(Reason reason) {
  Outcome outcome;
  outcome.reason = reason;
  return outcome;
}

}  // namespace

RequestRouter::RequestRouter(const ServiceDirectory& services,
                             GroupDirectory& groups,
                             const OwnerResolver& owners, PeerLink& peers,
                             std::mt19937_64& random,
                             RequestRouterOptions options)
    : options_(std::move(options)),
      services_(services),
      owners_(owners),
      random_(random),
      terms_(groups),
      forwarder_(owners, peers, options_.incarnation, options_.forward_tracer),
      selector_(groups, options_, random),
      request_ids_(owners.self(), options_.incarnation),
      transaction_ids_("t/" + owners.self(), options_.incarnation) {}

void RequestRouter::Submit(Request request, OutcomeCallback done,
                           TimePoint now) {
  Outcome refusal;
  if (request.deadline <= now) refusal = NotRun(Reason::kDeadline);
  if (refusal.reason != Reason::kNone || !Prepare(request, refusal)) {
    // kNotRun would be wrong here: the verdict of a resolve is about the write
    // with its id, and a commit may be a copy of one that ran.
    if (request.kind == RequestKind::kResolve ||
        request.kind == RequestKind::kCommit) {
      refusal.verdict = Verdict::kMayHaveRun;
    }
    ++(refusal.verdict == Verdict::kNotRun ? stats_.not_run
                                           : stats_.may_have_run);
    done(refusal);
    return;
  }
  auto state = std::make_shared<RequestState>();
  state->key = next_key_++;
  state->request = std::move(request);
  state->done = std::move(done);
  requests_.emplace(state->key, state);
  BudgetOf(state->request.service).OnRequest();
  if (state->request.kind == RequestKind::kResolve) {
    StartResolve(*state, Reason::kNone, now);
  } else {
    Route(*state, now);
  }
}

bool RequestRouter::Prepare(Request& request, Outcome& refusal) {
  if (services_.FindService(request.service) == nullptr) {
    refusal = NotRun(Reason::kUnknownService);
    return false;
  }
  if (request.team.empty()) request.team = services_.TeamOf(request.service);
  const bool is_begin = request.kind == RequestKind::kBegin;
  const bool is_step = !request.transaction.empty() && !is_begin &&
                       request.kind != RequestKind::kResolve;
  OpenTransaction* transaction =
      is_step || is_begin ? transactions_.Find(request.transaction) : nullptr;
  if (ended_ || (draining_ && transaction == nullptr)) {
    refusal = NotRun(Reason::kLeaving);
    return false;
  }
  const bool ends_transaction = request.kind == RequestKind::kCommit ||
                                request.kind == RequestKind::kRollback;
  if (ends_transaction || is_step) {
    const bool is_usable = transaction != nullptr &&
                           !transaction->is_committing &&
                           transaction->service == request.service;
    if (!is_usable && request.kind == RequestKind::kCommit &&
        !request.id.value.empty()) {
      // An earlier copy of the commit may have run, sent by this proxy or by
      // another one; only a resolve of its request id can tell.
      request.kind = RequestKind::kResolve;
      request.transaction.clear();
    } else if (!is_usable) {
      refusal = NotRun(Reason::kUnknownTransaction);
      return false;
    }
  }
  if (is_begin && request.transaction.empty()) {
    request.transaction = transaction_ids_.Next();
  } else if (is_begin && transaction != nullptr) {
    refusal = NotRun(Reason::kInvalidRequest);
    return false;
  }
  const bool is_resolve = request.kind == RequestKind::kResolve;
  const bool is_commit = request.kind == RequestKind::kCommit;
  const bool is_write = request.kind == RequestKind::kStatement && !is_step &&
                        request.access == AccessMode::kWrite;
  if (!is_resolve && !is_commit && !is_write) return true;
  if (request.id.attempt > attempt::kMaxCallerAttempt) {
    refusal = NotRun(Reason::kInvalidRequest);
    return false;
  }
  if (request.id.value.empty()) {
    if (is_resolve || (is_write && !request.idempotent)) {
      refusal = NotRun(Reason::kInvalidRequest);
      return false;
    }
    request.id.value = request_ids_.Next();
  }
  const bool cancels_range =
      is_resolve && !MutationEnabled(Mutation::kResolveFirstAttemptOnly);
  request.id.attempt = cancels_range ? attempt::LastOf(request.id.attempt)
                                     : attempt::FirstOf(request.id.attempt);
  if (is_commit) transaction->is_committing = true;
  return true;
}

void RequestRouter::AbandonTransaction(const TransactionId& id, TimePoint now) {
  const OpenTransaction* found = transactions_.Find(id);
  if (found == nullptr || found->is_committing) return;
  const OpenTransaction transaction = *found;
  transactions_.Remove(id);
  RollBack(id, transaction, now);
}

void RequestRouter::OnForwardReply(const VmName& from,
                                   const ForwardReplyMessage& reply,
                                   TimePoint now) {
  const auto forward = forwarder_.Take(reply.correlation, from);
  if (!forward) {
    ++stats_.dropped_replies;
    return;
  }
  selector_.OnForwardEnded(forward->endpoint);
  const auto found = requests_.find(forward->request);
  if (found == requests_.end()) return;
  const std::shared_ptr<RequestState> state = found->second;
  std::erase(state->forwards, forward->correlation);
  const Outcome& outcome = reply.outcome;
  // Only an effect in the reply's own term proves that the endpoint is the
  // primary of that term: an owner may know a term that its endpoint does not
  // know yet.
  const bool from_primary = outcome.verdict == Verdict::kRan &&
                            state->is_resolvable() &&
                            outcome.position.term == reply.term;
  terms_.Update(state->request.service, reply.term,
                from_primary ? forward->endpoint : EndpointName());
  selector_.OnOutcome(state->request, outcome, now);
  if (forward->resolves ||
      (state->is_resolvable() && outcome.verdict == Verdict::kRan)) {
    ReserveOf(state->request.service).OnAnswer(now - forward->sent_at);
  }
  OnOutcome(*state, *forward, reply, now);
}

void RequestRouter::OnPeerLost(const VmName& vm, TimePoint now) {
  transactions_.RemoveAllOfOwner(vm);
  for (const PendingForward& forward : forwarder_.TakeAllTo(vm)) {
    selector_.OnForwardEnded(forward.endpoint);
    const auto found = requests_.find(forward.request);
    if (found == requests_.end()) continue;
    const std::shared_ptr<RequestState> state = found->second;
    std::erase(state->forwards, forward.correlation);
    state->excluded_owners.insert(vm);
    OnNoAnswer(*state, forward, Reason::kPeerLost, now);
  }
}

// A write or read that was sent under an older term can no longer be
// acknowledged without the new primary. Without this limit the callers of a
// frozen primary would wait until their deadlines.
void RequestRouter::LimitForwardsOfOlderTerms(const ServiceName& service,
                                              TimePoint now) {
  for (const auto& [key, state] : requests_) {
    if (state->phase != RequestPhase::kForwarded || state->forwards.empty() ||
        state->request.service != service || state->accepts_replica()) {
      continue;
    }
    const PendingForward* forward = forwarder_.Find(state->forwards.front());
    if (forward != nullptr && IsOfOlderTerm(service, forward->term)) {
      timers_.SetNoLaterThan(key, now + kOldTermGrace);
    }
  }
}

void RequestRouter::OnGroupChanged(const ServiceName& service, TimePoint now) {
  LimitForwardsOfOlderTerms(service, now);
  const auto waiting = awaiting_primary_.find(service);
  if (waiting == awaiting_primary_.end()) return;
  const std::set<RequestKey> keys = waiting->second;
  for (const RequestKey key : keys) {
    const auto found = requests_.find(key);
    if (found == requests_.end()) continue;
    const std::shared_ptr<RequestState> state = found->second;
    OnTimer(*state, now);
  }
}

void RequestRouter::Drain(TimePoint /*now*/) { draining_ = true; }

void RequestRouter::EndAll() {
  ended_ = true;
  std::vector<std::shared_ptr<RequestState>> states;
  states.reserve(requests_.size());
  for (const auto& [key, state] : requests_) states.push_back(state);
  for (const auto& state : states) {
    if (state->phase == RequestPhase::kEnded) continue;
    const RequestKind kind = state->request.kind;
    // An uncommitted transaction has no effect: nobody else can commit it.
    const bool may_have_run =
        kind == RequestKind::kResolve || kind == RequestKind::kCommit ||
        (state->is_resolvable() && state->phase != RequestPhase::kWaiting);
    End(*state, may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun,
        Reason::kLeaving);
  }
}

void RequestRouter::Tick(TimePoint now) {
  while (const auto key = timers_.TakeDue(now)) {
    const auto found = requests_.find(*key);
    if (found == requests_.end()) continue;
    const std::shared_ptr<RequestState> state = found->second;
    OnTimer(*state, now);
  }
}

void RequestRouter::OnTimer(RequestState& state, TimePoint now) {
  const bool late = now >= state.request.deadline;
  switch (state.phase) {
    case RequestPhase::kWaiting:
      if (late) {
        const bool refused = state.reason != Reason::kNone;
        End(state, Verdict::kNotRun,
            refused ? state.reason : Reason::kDeadline);
        return;
      }
      if (state.awaits_term_above && !HasNewPrimary(state) &&
          !BudgetOf(state.request.service).TryTake(now)) {
        ++stats_.retries_refused;
        RetryAfterBackoff(state, RequestPhase::kWaiting, now);
        return;
      }
      Route(state, now);
      return;
    case RequestPhase::kForwarded:
      OnForwardedTimer(state, now);
      return;
    case RequestPhase::kResolveWaiting:
    case RequestPhase::kResolving:
      if (late) {
        End(state, Verdict::kMayHaveRun,
            state.reason == Reason::kNone ? Reason::kDeadline : state.reason);
        return;
      }
      for (const CorrelationId correlation : state.forwards) {
        const PendingForward* forward = forwarder_.Find(correlation);
        if (forward != nullptr) state.excluded_owners.insert(forward->owner);
      }
      SendResolve(state, now);
      return;
    case RequestPhase::kEnded:
      return;
  }
}

void RequestRouter::OnForwardedTimer(RequestState& state, TimePoint now) {
  if (state.is_read()) {
    if (now < state.request.deadline) {
      const PendingForward* forward =
          state.forwards.empty() ? nullptr
                                 : forwarder_.Find(state.forwards.front());
      if (forward != nullptr && !state.accepts_replica() &&
          IsOfOlderTerm(state.request.service, forward->term)) {
        DropForwards(state);
        RetryImmediately(state, now);
        return;
      }
      SendHedge(state, now);
      return;
    }
    End(state, Verdict::kNotRun, Reason::kDeadline);
    return;
  }
  // A request that is not a read has one pending forward. The forward is kept
  // while the request is being resolved, since a late kRan answer settles the
  // request.
  const PendingForward* found = forwarder_.Find(state.forwards.front());
  if (found == nullptr) return;
  const PendingForward forward = *found;
  const bool is_late = now >= state.request.deadline ||
                       !IsOfOlderTerm(state.request.service, forward.term);
  OnNoAnswer(state, forward, is_late ? Reason::kDeadline : Reason::kStaleTerm,
             now);
}

void RequestRouter::DropForwards(RequestState& state) {
  for (const CorrelationId correlation : std::exchange(state.forwards, {})) {
    const auto forward = forwarder_.Remove(correlation);
    if (forward) selector_.OnForwardEnded(forward->endpoint);
  }
}

void RequestRouter::End(RequestState& state, Verdict verdict, Reason reason) {
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = reason;
  End(state, std::move(outcome));
}

void RequestRouter::End(RequestState& state, Outcome outcome) {
  DropForwards(state);
  timers_.Cancel(state.key);
  awaiting_primary_[state.request.service].erase(state.key);
  state.phase = RequestPhase::kEnded;
  if (state.is_internal) {
    requests_.erase(state.key);
    return;
  }
  switch (outcome.verdict) {
    case Verdict::kRan:
      ++stats_.ran;
      if (state.is_read()) {
        ++(outcome.from_replica ? stats_.replica_reads : stats_.primary_reads);
      }
      // The session's token advances to this position and must never go back.
      outcome.position = std::max(outcome.position, state.request.min_position);
      break;
    case Verdict::kNotRun:
      ++stats_.not_run;
      break;
    case Verdict::kMayHaveRun:
      ++stats_.may_have_run;
      break;
  }
  const OutcomeCallback done = std::move(state.done);
  requests_.erase(state.key);
  done(outcome);
}

}  // namespace carawayhaven
