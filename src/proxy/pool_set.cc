#include "proxy/pool_set.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/group/group_directory.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_link.h"
#include "proxy/logging.h"
#include "proxy/tracing.h"

namespace carawayhaven {
namespace {

bool HasSameSettings(const EndpointPoolOptions& left,
                     const EndpointPoolOptions& right) {
  return left.address == right.address && left.slots == right.slots &&
         left.connections == right.connections &&
         left.acknowledge == right.acknowledge;
}

}  // namespace

PoolSet::PoolSet(const ServiceDirectory& services, GroupDirectory& groups,
                 const OwnerResolver& owners, EndpointLink& link,
                 PeerLink& peers, const Tracing& tracing,
                 Duration drain_timeout)
    : services_(services),
      groups_(groups),
      owners_(owners),
      link_(link),
      peers_(peers),
      tracing_(tracing),
      drain_timeout_(drain_timeout) {}

PoolSet::~PoolSet() = default;

void PoolSet::OnForward(const VmName& from, const ForwardMessage& message,
                        TimePoint now) {
  if (!filter_.Accept(from, message.correlation)) return;
  Entry* entry = FindOrCreate(message.endpoint, now);
  const ServiceName service = message.request.service;
  if (entry == nullptr) {
    ForwardReplyMessage refusal{message.correlation, message.term, {}};
    refusal.outcome.reason = Reason::kUnknownService;
    peers_.Send(from, refusal);
    return;
  }
  const bool is_new = message.request.transaction.empty() ||
                      message.request.kind == RequestKind::kBegin;
  if (is_new && RefusesNewWork(message.endpoint, *entry, now)) {
    // With these reasons, the forwarding proxy sends a read to another endpoint
    // and holds a write until there is a new primary.
    ForwardReplyMessage refusal{
        message.correlation, groups_.TermOf(service), {}};
    refusal.outcome.reason =
        message.request.access == AccessMode::kRead && message.request.max_age
            ? Reason::kBehind
            : Reason::kNotPrimary;
    refusal.outcome.served_by = message.endpoint;
    peers_.Send(from, refusal);
    return;
  }
  std::shared_ptr<opentracing::Span> span =
      tracing_.StartHop(kQueueSpan, message.request.traceparent);
  span->SetTag("endpoint", message.endpoint);
  Request request = message.request;
  request.traceparent = Tracing::TraceparentOf(*span);
  entry->pool->Submit(
      std::move(request), std::max(message.term, groups_.TermOf(service)),
      [this, from, service, span = std::move(span),
       correlation = message.correlation](const Outcome& outcome) {
        span->SetTag("verdict", std::string(VerdictName(outcome.verdict)));
        span->Finish();
        peers_.Send(from, ForwardReplyMessage{
                              correlation, groups_.TermOf(service), outcome});
      },
      now);
}

void PoolSet::OnOwnershipChanged(TimePoint now) {
  std::map<EndpointName, bool, std::less<>> owned;
  for (const ServiceName& name : services_.Services()) {
    for (const EndpointConfig& endpoint :
         services_.FindService(name)->endpoints) {
      const std::vector<VmName> owners = owners_.OwnersOf(endpoint, 1);
      if (!owners.empty() && owners.front() == owners_.self()) {
        owned.emplace(endpoint.name, true);
      }
    }
  }
  for (auto& [endpoint, entry] : pools_) {
    entry.owned = owned.contains(endpoint);
    const EndpointEntry declared = services_.FindEndpoint(endpoint);
    if (declared.endpoint != nullptr && declared.endpoint->leaving) {
      SetLeaving(entry, true, now);
    }
  }
  for (const auto& [endpoint, is_owned] : owned) {
    if (Entry* entry = FindOrCreate(endpoint, now)) entry->owned = true;
  }
}

void PoolSet::OnGroupChanged(std::string_view service, Term term) {
  for (auto& [endpoint, entry] : pools_) {
    if (entry.service == service) entry.pool->SetTerm(term);
  }
}

void PoolSet::HoldWrites(std::string_view service, TimePoint now) {
  for (auto& [endpoint, entry] : pools_) {
    if (entry.service == service) entry.pool->Hold(now);
  }
}

void PoolSet::ReleaseWrites(std::string_view service, TimePoint now) {
  for (auto& [endpoint, entry] : pools_) {
    if (entry.service == service) entry.pool->Release(now);
  }
}

bool PoolSet::WritesInFlight(std::string_view service) const {
  return std::any_of(pools_.begin(), pools_.end(), [service](const auto& item) {
    return item.second.service == service &&
           item.second.pool->HasWritesInFlight();
  });
}

void PoolSet::OnConnectionsSilent(std::string_view endpoint, TimePoint now) {
  const auto found = pools_.find(endpoint);
  if (found != pools_.end()) found->second.pool->SuspectConnections(now);
}

bool PoolSet::IsLeaving(std::string_view endpoint) const {
  const auto found = pools_.find(endpoint);
  return found != pools_.end() && found->second.leaving_since.has_value();
}

const EndpointPool* PoolSet::Find(std::string_view endpoint) const {
  const auto found = pools_.find(endpoint);
  return found == pools_.end() ? nullptr : found->second.pool.get();
}

void PoolSet::Drain(TimePoint now) {
  draining_ = true;
  for (auto& [endpoint, entry] : pools_) entry.pool->Drain(now);
}

bool PoolSet::idle() const {
  return replaced_.empty() &&
         std::all_of(pools_.begin(), pools_.end(),
                     [](const auto& item) { return item.second.pool->idle(); });
}

void PoolSet::Tick(TimePoint now) {
  for (auto& [endpoint, entry] : pools_) entry.pool->Tick(now);
  for (const auto& pool : replaced_) pool->Tick(now);
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepInterval;
  std::erase_if(replaced_, [](const auto& pool) { return pool->idle(); });
  // A pool that this VM no longer owns is kept for one more interval, since a
  // forwarding proxy may still consider this VM the owner.
  for (auto it = pools_.begin(); it != pools_.end();) {
    Entry& entry = it->second;
    const bool unused = !entry.owned && !draining_ && entry.pool->idle();
    if (unused && entry.marked_unused) {
      it = pools_.erase(it);
      continue;
    }
    entry.marked_unused = unused;
    ++it;
  }
}

TimePoint PoolSet::NextTick() const {
  TimePoint next =
      pools_.empty() && replaced_.empty() ? TimePoint::max() : next_sweep_;
  for (const auto& [endpoint, entry] : pools_) {
    next = std::min(next, entry.pool->NextTick());
  }
  for (const auto& pool : replaced_) next = std::min(next, pool->NextTick());
  return next;
}

void PoolSet::ForEach(
    const std::function<void(const EndpointName&, const EndpointPool&)>& visit)
    const {
  for (const auto& [endpoint, entry] : pools_) visit(endpoint, *entry.pool);
}

void PoolSet::OnEndpointAnswer(const EndpointName& endpoint,
                               const EndpointAnswer& answer, TimePoint now) {
  groups_.RecordObservation(endpoint, {answer.position, answer.age, now});
  const auto found = pools_.find(endpoint);
  if (found == pools_.end()) return;
  const EndpointEntry declared = services_.FindEndpoint(endpoint);
  const bool declared_leaving =
      declared.endpoint != nullptr && declared.endpoint->leaving;
  SetLeaving(found->second, answer.leaving || declared_leaving, now);
}

std::shared_ptr<void> PoolSet::TraceStatement(const EndpointName& endpoint,
                                              const Request& request) {
  if (request.traceparent.empty()) return nullptr;
  std::shared_ptr<opentracing::Span> span =
      tracing_.StartHop(kEndpointSpan, request.traceparent);
  span->SetTag("endpoint", endpoint);
  return span;
}

bool PoolSet::RefusesNewWork(const EndpointName& name, const Entry& entry,
                             TimePoint now) const {
  if (!entry.leaving_since) return false;
  const ServiceConfig* service = services_.FindService(entry.service);
  const bool is_primary =
      service != nullptr && groups_.ViewOf(*service).primary == name;
  return !is_primary ||
         now >= *entry.leaving_since + kLeavingPrimaryGracePeriod;
}

void PoolSet::SetLeaving(Entry& entry, bool leaving, TimePoint now) const {
  if (leaving == entry.leaving_since.has_value()) return;
  Log(LogLevel::kInfo,
      leaving ? "endpoint_leaving" : "endpoint_no_longer_leaving",
      {{"endpoint", entry.options.endpoint}});
  if (leaving) {
    entry.leaving_since = now;
  } else {
    entry.leaving_since.reset();
  }
}

// Returns the endpoint's pool, which is created if needed and replaced when the
// endpoint's settings have changed; null when the endpoint is not in the
// configuration.
PoolSet::Entry* PoolSet::FindOrCreate(std::string_view endpoint,
                                      TimePoint now) {
  const EndpointEntry declared = services_.FindEndpoint(endpoint);
  const auto found = pools_.find(endpoint);
  if (declared.endpoint == nullptr) return nullptr;
  EndpointPoolOptions options = OptionsFor(endpoint);
  if (found != pools_.end()) {
    if (HasSameSettings(found->second.options, options)) return &found->second;
    found->second.pool->Drain(now);
    replaced_.push_back(std::move(found->second.pool));
    pools_.erase(found);
  }
  Entry entry;
  entry.service = declared.service->name;
  entry.options = options;
  entry.pool = std::make_unique<EndpointPool>(std::move(options), link_, *this);
  entry.pool->SetTerm(groups_.ViewOf(*declared.service).term);
  if (draining_) entry.pool->Drain(now);
  if (declared.endpoint->leaving) SetLeaving(entry, true, now);
  return &pools_.emplace(EndpointName(endpoint), std::move(entry))
              .first->second;
}

EndpointPoolOptions PoolSet::OptionsFor(std::string_view endpoint) const {
  const EndpointEntry declared = services_.FindEndpoint(endpoint);
  EndpointPoolOptions options;
  options.endpoint = declared.endpoint->name;
  options.address = declared.endpoint->address;
  options.slots = declared.service->slots;
  options.connections = declared.service->connections;
  options.acknowledge = declared.service->acknowledge;
  options.drain_timeout = drain_timeout_;
  return options;
}

}  // namespace carawayhaven
