#include "core/route/forwarder.h"

#include <utility>

#include "core/config/team_config.h"
#include "core/membership/owner_resolver.h"
#include "core/mutation.h"
#include "core/peer_link.h"
#include "core/peer_message.h"

namespace carawayhaven {
namespace {

// The owner and two that replace it: a third simultaneous failure is left to
// the back-off, in which the membership takes notice.
constexpr std::size_t kOwnersTried = 3;

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
  for (const VmName& owner : owners_.OwnersOf(endpoint, kOwnersTried)) {
    if (excluded_owners.contains(owner)) continue;
    auto leg = ForwardTo(owner, key, endpoint.name, term, request, now);
    if (leg) return leg;
  }
  return std::nullopt;
}

std::optional<PendingForward> Forwarder::ForwardTo(
    const VmName& owner, RequestKey key, const EndpointName& endpoint,
    Term term, const Request& request, TimePoint now) {
  PendingForward leg;
  leg.correlation = next_correlation_++;
  leg.request = key;
  leg.owner = owner;
  leg.endpoint = endpoint;
  leg.term = term;
  leg.resolves = request.kind == RequestKind::kResolve;
  leg.sent_at = now;
  ForwardMessage message{leg.correlation, endpoint, term, request};
  // Only a request of a sampled trace has a traceparent.
  if (tracer_ && !request.traceparent.empty()) {
    leg.trace = tracer_(owner, message.request);
  }
  if (!peers_.Send(owner, message)) return std::nullopt;
  forwards_.emplace(leg.correlation, leg);
  forwards_of_owner_[owner].insert(leg.correlation);
  return leg;
}

std::optional<PendingForward> Forwarder::Take(CorrelationId correlation,
                                              const VmName& from) {
  const auto found = forwards_.find(correlation);
  if (MutationEnabled(Mutation::kAcceptForeignReply) &&
      found == forwards_.end()) {
    const auto of_owner = forwards_of_owner_.find(from);
    if (of_owner != forwards_of_owner_.end()) {
      return Forget(*of_owner->second.begin());
    }
  }
  if (found == forwards_.end() || found->second.owner != from)
    return std::nullopt;
  return Forget(correlation);
}

const PendingForward* Forwarder::Find(CorrelationId correlation) const {
  const auto found = forwards_.find(correlation);
  return found == forwards_.end() ? nullptr : &found->second;
}

std::optional<PendingForward> Forwarder::Forget(CorrelationId correlation) {
  const auto found = forwards_.find(correlation);
  if (found == forwards_.end()) return std::nullopt;
  PendingForward leg = std::move(found->second);
  forwards_.erase(found);
  const auto of_owner = forwards_of_owner_.find(leg.owner);
  if (of_owner != forwards_of_owner_.end()) {
    of_owner->second.erase(correlation);
    if (of_owner->second.empty()) forwards_of_owner_.erase(of_owner);
  }
  return leg;
}

std::vector<PendingForward> Forwarder::TakeAllTo(const VmName& owner) {
  std::vector<PendingForward> taken;
  const auto found = forwards_of_owner_.find(owner);
  if (found == forwards_of_owner_.end()) return taken;
  const std::set<CorrelationId> correlations = std::move(found->second);
  forwards_of_owner_.erase(found);
  for (const CorrelationId correlation : correlations) {
    if (auto leg = Forget(correlation)) taken.push_back(std::move(*leg));
  }
  return taken;
}

}  // namespace carawayhaven
