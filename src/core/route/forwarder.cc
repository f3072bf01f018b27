#include "core/route/forwarder.h"

#include <utility>

#include "core/config/team_config.h"
#include "core/membership/owner_resolver.h"
#include "core/mutation.h"
#include "core/peer_link.h"
#include "core/peer_message.h"

namespace carawayhaven {
namespace {

// The owner and its two successors. After a third simultaneous failure the
// request backs off, which gives the membership time to detect the failures.
constexpr std::size_t kMaxOwnersTried = 3;

}  // namespace

Forwarder::Forwarder(const OwnerResolver& owners, PeerLink& peers,
                     std::uint64_t incarnation, ForwardTracer tracer)
    : owners_(owners),
      peers_(peers),
      tracer_(std::move(tracer)),
      next_correlation_(MutationEnabled(Mutation::kCorrelationStartsAnew)
                            ? 1
                            : incarnation + 1) {}

std::optional<PendingForward> Forwarder::Forward(
    RequestKey key, const EndpointConfig& endpoint, Term term,
    const Request& request, const std::set<VmName>& excluded_owners,
    TimePoint now) {
  for (const VmName& owner : owners_.OwnersOf(endpoint, kMaxOwnersTried)) {
    if (excluded_owners.contains(owner)) continue;
    auto forward = ForwardTo(owner, key, endpoint.name, term, request, now);
    if (forward) return forward;
  }
  return std::nullopt;
}

std::optional<PendingForward> Forwarder::ForwardTo(
    const VmName& owner, RequestKey key, const EndpointName& endpoint,
    Term term, const Request& request, TimePoint now) {
  PendingForward forward;
  forward.correlation = next_correlation_++;
  forward.request = key;
  forward.owner = owner;
  forward.endpoint = endpoint;
  forward.term = term;
  forward.resolves = request.kind == RequestKind::kResolve;
  forward.sent_at = now;
  ForwardMessage message{forward.correlation, endpoint, term, request};
  // Only requests of a sampled trace have a traceparent.
  if (tracer_ && !request.traceparent.empty()) {
    forward.trace = tracer_(owner, message.request);
  }
  if (!peers_.Send(owner, message)) return std::nullopt;
  forwards_.emplace(forward.correlation, forward);
  forwards_of_owner_[owner].insert(forward.correlation);
  return forward;
}

std::optional<PendingForward> Forwarder::Take(CorrelationId correlation,
                                              const VmName& from) {
  const auto it = forwards_.find(correlation);
  if (MutationEnabled(Mutation::kAcceptForeignReply) && it == forwards_.end()) {
    const auto of_owner = forwards_of_owner_.find(from);
    if (of_owner != forwards_of_owner_.end()) {
      return Remove(*of_owner->second.begin());
    }
  }
  if (it == forwards_.end() || it->second.owner != from) return std::nullopt;
  return Remove(correlation);
}

const PendingForward* Forwarder::Find(CorrelationId correlation) const {
  const auto found = forwards_.find(correlation);
  return found == forwards_.end() ? nullptr : &found->second;
}

std::optional<PendingForward> Forwarder::Remove(CorrelationId correlation) {
  const auto found = forwards_.find(correlation);
  if (found == forwards_.end()) return std::nullopt;
  PendingForward forward = std::move(found->second);
  forwards_.erase(found);
  const auto of_owner = forwards_of_owner_.find(forward.owner);
  if (of_owner != forwards_of_owner_.end()) {
    of_owner->second.erase(correlation);
    if (of_owner->second.empty()) forwards_of_owner_.erase(of_owner);
  }
  return forward;
}

std::vector<PendingForward> Forwarder::TakeAllTo(const VmName& owner) {
  std::vector<PendingForward> taken;
  const auto found = forwards_of_owner_.find(owner);
  if (found == forwards_of_owner_.end()) return taken;
  const std::set<CorrelationId> correlations = std::move(found->second);
  forwards_of_owner_.erase(found);
  for (const CorrelationId correlation : correlations) {
    if (auto sent = Remove(correlation)) taken.push_back(std::move(*sent));
  }
  return taken;
}

}  // namespace carawayhaven
