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

/// Accepts the requests of callers, selects an endpoint for each request,
/// forwards it to the owner of that endpoint's pool, and determines its
/// verdict. Not thread-safe; all calls must come from the thread of the event
/// loop.
class RequestRouter {
 public:
  using OutcomeCallback = std::function<void(const Outcome&)>;

  /// All references must outlive the router. A message to this VM itself is
  /// sent through `peers` like any other.
  RequestRouter(const ServiceDirectory& services, GroupDirectory& groups,
                const OwnerResolver& owners, PeerLink& peers,
                std::mt19937_64& random, RequestRouterOptions options = {});
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  /// Accepts a request. `done` is called exactly once, at the latest shortly
  /// after the request's deadline, possibly before Submit returns.
  ///
  /// An idempotent write and a commit without a request id get one. A begin
  /// without a transaction id gets one, which is the payload of its outcome; a
  /// given one must be unique across proxies. The position of a kRan outcome is
  /// at or after the request's min_position.
  void Submit(Request request, OutcomeCallback done, TimePoint now);

  /// Rolls back a transaction whose caller is gone. Does nothing when the
  /// transaction is unknown or is being committed.
  void AbandonTransaction(const TransactionId& id, TimePoint now);

  void OnForwardReply(const VmName& from, const ForwardReplyMessage& reply,
                      TimePoint now);
  void OnPeerLost(const VmName& vm, TimePoint now);

  /// To be called after the GroupDirectory has applied a newer term. Sends the
  /// requests that wait for the service's new primary, and shortens the wait
  /// for answers of the old one. Without this call both happen later, at the
  /// latest at the deadline.
  void OnGroupChanged(const ServiceName& service, TimePoint now);

  /// Refuses new requests from now on. Steps of open transactions are accepted,
  /// and requests in flight continue.
  void Drain(TimePoint now);

  /// Ends all requests in flight with reason kLeaving, since the process ends;
  /// later requests are refused. A write or commit that may have been sent ends
  /// as kMayHaveRun.
  void EndAll();

  /// Number of requests without an outcome.
  std::size_t in_flight() const { return requests_.size(); }

  /// Returns true when a transaction that began at this router is open.
  bool has_open_transactions() const { return !transactions_.empty(); }

  RequestRouterStats stats() const { return stats_; }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return timers_.Next(); }

 private:
  // request_router.cc: entry, timers and end of a request.
  /// Checks the request and fills in its ids, team and attempt. Returns false
  /// and sets `refusal` when the request is refused.
  bool Prepare(Request& request, Outcome& refusal);
  void OnTimer(RequestState& state, TimePoint now);
  void OnForwardedTimer(RequestState& state, TimePoint now);
  void LimitForwardsOfOlderTerms(const ServiceName& service, TimePoint now);
  void End(RequestState& state, Outcome outcome);
  void End(RequestState& state, Verdict verdict, Reason reason);
  void DropForwards(RequestState& state);

  // request_router_send.cc: choice of the target and sending.
  void Route(RequestState& state, TimePoint now);
  void RouteRead(RequestState& state, const ServiceConfig& service,
                 TimePoint now);
  void SendTo(RequestState& state, const ServiceConfig& service,
              const EndpointName& endpoint, TimePoint now);
  void SendStep(RequestState& state, const ServiceConfig& service,
                TimePoint now);
  void SendResolve(RequestState& state, TimePoint now);
  void SendHedge(RequestState& state, TimePoint now);
  void AddForward(RequestState& state, const PendingForward& forward);
  void RecordNotPrimary(RequestState& state, const EndpointName& endpoint);
  EndpointName PrimaryFor(RequestState& state, const ServiceConfig& service);
  Request MakeForwardedRequest(const RequestState& state, TimePoint now);

  // request_router_outcome.cc: reaction to an outcome or to a missing one.
  void OnOutcome(RequestState& state, const PendingForward& forward,
                 const ForwardReplyMessage& reply, TimePoint now);
  void OnNotRun(RequestState& state, const PendingForward& forward,
                const Outcome& outcome, TimePoint now);
  void OnNoAnswer(RequestState& state, const PendingForward& forward,
                  Reason reason, TimePoint now);
  void OnResolved(RequestState& state, const PendingForward& forward,
                  const ForwardReplyMessage& reply, TimePoint now);
  void OnStepOutcome(RequestState& state, const PendingForward& forward,
                     const ForwardReplyMessage& reply, TimePoint now);
  void OnBeginOutcome(RequestState& state, const PendingForward& forward,
                      const ForwardReplyMessage& reply, TimePoint now);
  void StartResolve(RequestState& state, Reason reason, TimePoint now);
  void RepeatResolve(RequestState& state, TimePoint now);
  void RetryImmediately(RequestState& state, TimePoint now);
  void AwaitPrimary(RequestState& state, TimePoint now);
  void RetryLater(RequestState& state, TimePoint now);
  void RetryAfterBackoff(RequestState& state, RequestPhase phase,
                         TimePoint now);
  void RollBack(const TransactionId& id, const OpenTransaction& transaction,
                TimePoint now);
  bool IsOfOlderTerm(const ServiceName& service, Term term) const;
  bool HasNewPrimary(const RequestState& state) const;
  bool KnowsOtherPrimary(const RequestState& state,
                         const PendingForward& forward) const;
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
  bool ended_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_H_
