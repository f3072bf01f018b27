#ifndef CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_H_
#define CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>

#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "core/limits/retry_budget.h"
#include "core/peer_message.h"
#include "core/route/forwarder.h"
#include "core/route/id_source.h"
#include "core/route/replica_selector.h"
#include "core/route/request_router_options.h"
#include "core/route/request_router_stats.h"
#include "core/route/request_state.h"
#include "core/route/resolve_reserve.h"
#include "core/route/term_hints.h"
#include "core/route/timer_queue.h"
#include "core/route/transaction_table.h"

namespace carawayhaven {

class GroupDirectory;
class OwnerResolver;
class PeerLink;
class ServiceDirectory;
struct EndpointConfig;
struct ServiceConfig;

/// Takes the requests of callers, selects an endpoint for each, forwards it to
/// the owner of that endpoint's pool and settles its verdict. Not thread-safe;
/// one loop, one thread.
class RequestRouter {
 public:
  using OutcomeCallback = std::function<void(const Outcome&)>;

  /// All references must outlive the front. A message to this VM itself is sent
  /// through `peers` like any other.
  RequestRouter(const ServiceDirectory& services, GroupDirectory& groups,
                const OwnerResolver& owners, PeerLink& peers,
                std::mt19937_64& random, RequestRouterOptions options = {});
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  /// Takes a request; `done` is called exactly once, at the latest shortly
  /// after the request's deadline, possibly from within the call.
  ///
  /// An idempotent write and a commit without a request id get one. A begin
  /// without a transaction id gets one, which is the payload of its outcome; a
  /// given one must be unique across proxies. The position of a kRan outcome is
  /// at or after the request's min_position.
  void Submit(Request request, OutcomeCallback done, TimePoint now);

  /// Rolls the transaction back, because its caller is gone. An unknown id and
  /// one whose commit is under way change nothing.
  void AbandonTransaction(const TransactionId& id, TimePoint now);

  void OnForwardReply(const VmName& from, const ForwardReplyMessage& reply,
                      TimePoint now);
  void OnPeerLost(const VmName& vm, TimePoint now);

  /// To be called after the GroupDirectory was raised; sends what waits for the
  /// service's new primary, and settles what the old one does not answer soon.
  /// Without the call both happen later, at the latest at the deadline.
  void OnGroupChanged(const ServiceName& service, TimePoint now);

  /// Takes no new work from now on; steps of open transactions are taken, and
  /// what is in flight goes on.
  void Drain(TimePoint now);

  /// Number of requests without an outcome.
  std::size_t in_flight() const { return requests_.size(); }

  /// True when no transaction that began here is open.
  bool has_open_transactions() const { return !transactions_.empty(); }

  RequestRouterStats stats() const { return stats_; }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return timers_.Next(); }

 private:
  // front.cc: entry, timers and end of a request.
  bool Prepare(Request& request, Outcome& refusal);
  void OnTimer(RequestState& state, TimePoint now);
  void OnForwardedTimer(RequestState& state, TimePoint now);
  void LimitForwardsOfOlderTerms(const ServiceName& service, TimePoint now);
  void End(RequestState& state, Outcome outcome);
  void End(RequestState& state, Verdict verdict, Reason reason);
  void DropForwards(RequestState& state);

  // front_send.cc: choice of the place and sending.
  void Route(RequestState& state, TimePoint now);
  void RouteRead(RequestState& state, const ServiceConfig& service,
                 TimePoint now);
  void SendTo(RequestState& state, const ServiceConfig& service,
              const EndpointName& endpoint, TimePoint now);
  void SendStep(RequestState& state, const ServiceConfig& service,
                TimePoint now);
  void SendResolve(RequestState& state, TimePoint now);
  void SendHedge(RequestState& state, TimePoint now);
  void AddForward(RequestState& state, const PendingForward& leg);
  void RecordNotPrimary(RequestState& state, const EndpointName& endpoint);
  EndpointName PrimaryFor(RequestState& state, const ServiceConfig& service);
  Request MessageOf(const RequestState& state, TimePoint now);

  // front_outcome.cc: what follows an outcome or its absence.
  void OnOutcome(RequestState& state, const PendingForward& leg,
                 const ForwardReplyMessage& reply, TimePoint now);
  void OnNotRun(RequestState& state, const PendingForward& leg,
                const Outcome& outcome, TimePoint now);
  void OnNoAnswer(RequestState& state, const PendingForward& leg, Reason reason,
                  TimePoint now);
  void OnResolved(RequestState& state, const PendingForward& leg,
                  const ForwardReplyMessage& reply, TimePoint now);
  void OnStepOutcome(RequestState& state, const PendingForward& leg,
                     const ForwardReplyMessage& reply, TimePoint now);
  void OnBeginOutcome(RequestState& state, const PendingForward& leg,
                      const ForwardReplyMessage& reply, TimePoint now);
  void StartResolve(RequestState& state, Reason reason, TimePoint now);
  void RepeatResolve(RequestState& state, TimePoint now);
  void RetryElsewhere(RequestState& state, TimePoint now);
  void AwaitPrimary(RequestState& state, TimePoint now);
  void RetryLater(RequestState& state, TimePoint now);
  void RetryAfterBackoff(RequestState& state, RequestPhase phase,
                         TimePoint now);
  void RollBack(const TransactionId& id, const OpenTransaction& transaction,
                TimePoint now);
  bool IsOfOlderTerm(const ServiceName& service, Term term) const;
  bool HasNewPrimary(const RequestState& state) const;
  bool KnowsOtherPrimary(const RequestState& state,
                         const PendingForward& leg) const;
  RetryBudget& BudgetOf(const ServiceName& service);
  ResolveReserve& ReserveOf(const ServiceName& service);

  RequestRouterOptions options_;
  const ServiceDirectory& services_;
  const OwnerResolver& owners_;
  std::mt19937_64& random_;
  TermHints terms_;
  Forwarder forwarder_;
  ReplicaSelector selector_;
  IdSource request_ids_;
  IdSource transaction_ids_;
  TransactionTable transactions_;
  TimerQueue timers_;
  std::map<ServiceName, RetryBudget> budgets_;
  std::map<ServiceName, ResolveReserve> reserves_;
  RequestKey next_key_ = 1;
  std::unordered_map<RequestKey, std::shared_ptr<RequestState>> requests_;
  std::map<ServiceName, std::set<RequestKey>> awaiting_primary_;
  RequestRouterStats stats_;
  bool draining_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_H_
