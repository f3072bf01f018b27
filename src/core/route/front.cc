#include "core/route/front.h"

#include <algorithm>
#include <vector>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/group/group_directory.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_link.h"

namespace carawayhaven {
namespace {

Outcome NotRun(Reason reason) {
  Outcome outcome;
  outcome.verdict = Verdict::kNotRun;
  outcome.reason = reason;
  return outcome;
}

}  // namespace

Front::Front(const ServiceDirectory& services, GroupDirectory& groups,
             const OwnerResolver& owners, PeerLink& peers,
             std::mt19937_64& random)
    : services_(services),
      groups_(groups),
      owners_(owners),
      peers_(peers),
      random_(random) {}

void Front::Submit(Request request, OutcomeCallback done, TimePoint /*now*/) {
  const ServiceConfig* service = services_.FindService(request.service);
  if (service == nullptr) {
    done(NotRun(Reason::kUnknownService));
    return;
  }
  const EndpointName endpoint = SelectEndpoint(request);
  const EndpointEntry entry = services_.FindEndpoint(endpoint);
  const std::vector<VmName> owners = owners_.OwnersOf(*entry.endpoint, 1);
  if (owners.empty()) {
    done(NotRun(Reason::kPeerLost));
    return;
  }
  if (request.team.empty()) request.team = entry.team;
  const CorrelationId correlation = next_correlation_++;
  ForwardMessage message{correlation, endpoint, groups_.ViewOf(*service).term,
                         request};
  requests_.emplace(correlation, Pending{std::move(request), std::move(done),
                                         owners.front()});
  if (!peers_.Send(owners.front(), message)) {
    End(correlation, NotRun(Reason::kPeerLost));
  }
}

void Front::OnForwardReply(const VmName& /*from*/,
                           const ForwardReplyMessage& reply,
                           TimePoint /*now*/) {
  End(reply.correlation, reply.outcome);
}

void Front::OnPeerLost(const VmName& vm, TimePoint /*now*/) {
  std::vector<CorrelationId> lost;
  for (const auto& [correlation, pending] : requests_) {
    if (pending.owner == vm) lost.push_back(correlation);
  }
  Outcome outcome = NotRun(Reason::kPeerLost);
  outcome.verdict = Verdict::kMayHaveRun;
  for (const CorrelationId correlation : lost) End(correlation, outcome);
}

void Front::Tick(TimePoint now) {
  std::vector<CorrelationId> late;
  for (const auto& [correlation, pending] : requests_) {
    if (pending.request.deadline <= now) late.push_back(correlation);
  }
  Outcome outcome = NotRun(Reason::kDeadline);
  outcome.verdict = Verdict::kMayHaveRun;
  for (const CorrelationId correlation : late) End(correlation, outcome);
}

TimePoint Front::NextTick() const {
  TimePoint next = TimePoint::max();
  for (const auto& [correlation, pending] : requests_) {
    next = std::min(next, pending.request.deadline);
  }
  return next;
}

EndpointName Front::SelectEndpoint(const Request& request) const {
  const ServiceConfig& service = *services_.FindService(request.service);
  const EndpointName& primary = groups_.ViewOf(service).primary;
  const bool replica_will_do = request.access == AccessMode::kRead &&
                               request.max_age.has_value() &&
                               request.transaction.empty();
  if (!replica_will_do) return primary;
  std::vector<EndpointName> replicas;
  for (const EndpointConfig& endpoint : service.endpoints) {
    if (endpoint.name != primary) replicas.push_back(endpoint.name);
  }
  if (replicas.empty()) return primary;
  return replicas[random_() % replicas.size()];
}

void Front::End(CorrelationId correlation, const Outcome& outcome) {
  const auto found = requests_.find(correlation);
  if (found == requests_.end()) return;
  const OutcomeCallback done = std::move(found->second.done);
  requests_.erase(found);
  done(outcome);
}

}  // namespace carawayhaven
