#include "core/group/group_monitor.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/group/group_directory.h"
#include "core/membership/owner_resolver.h"
#include "core/mutation.h"
#include "core/peer_link.h"

namespace carawayhaven {

GroupMonitor::GroupMonitor(const ServiceConfig& service, VmName vm,
                           EndpointLink& link, PeerLink& peers,
                           PlatformStore& store, const OwnerResolver& owners,
                           GroupDirectory& directory, std::mt19937_64& random,
                           GroupMonitorHandler& handler)
    : service_(service),
      vm_(std::move(vm)),
      link_(link),
      peers_(peers),
      owners_(owners),
      directory_(directory),
      handler_(handler),
      detector_(link, *this),
      promoter_(service_, vm_, link, directory, random, *this),
      publisher_(store, random, [this](const GroupUpdateMessage& update) {
        stored_update_ = update;
      }) {}

GroupMonitor::~GroupMonitor() {
  for (const auto& [name, owned] : owned_) {
    if (owned.connection != 0) link_.Close(owned.connection);
  }
}

void GroupMonitor::Update(const ServiceConfig& service, TimePoint now) {
  if (service == service_) {
    Refresh(now);
    return;
  }
  promoter_.Withdraw(now);
  service_ = service;
  for (auto& [name, owned] : owned_) {
    if (owned.connection != 0) link_.Close(owned.connection);
  }
  owned_.clear();
  Refresh(now);
}

void GroupMonitor::RequestPlannedChange(TimePoint now) {
  const EndpointConfig* primary = Find(directory_.ViewOf(service_).primary);
  if (primary == nullptr || OwnerOf(*primary) != vm_) return;
  planned_change_requested_ = true;
  StartChangeIfNeeded(now);
}

void GroupMonitor::OnPeerMessage(const VmName& vm, const PeerMessage& message,
                                 TimePoint now) {
  if (const auto* update = std::get_if<GroupUpdateMessage>(&message)) {
    if (update->service == service_.name) Apply(*update, now);
  } else if (const auto* report = std::get_if<SuspectReportMessage>(&message)) {
    if (report->service != service_.name) return;
    if (report->suspected) {
      reports_.insert_or_assign(
          report->observer, Report{vm, report->term, now + kReportLifetime});
    } else {
      reports_.erase(report->observer);
    }
  } else {
    return;
  }
  StartChangeIfNeeded(now);
}

void GroupMonitor::Tick(TimePoint now) {
  if (stored_update_) Apply(*std::exchange(stored_update_, std::nullopt), now);
  if (next_refresh_ <= now) Refresh(now);
  detector_.Tick(now);
  promoter_.Tick(now);
  publisher_.Tick(now);
  if (next_status_ <= now) QueryOwnedEndpoints(now);
  if (detector_.suspected() && next_report_ <= now) SendReports(now);
  StartChangeIfNeeded(now);
}

TimePoint GroupMonitor::NextTick() const {
  if (stored_update_) return TimePoint::min();
  TimePoint next = std::min({next_refresh_, next_status_, detector_.NextTick(),
                             promoter_.NextTick(), publisher_.NextTick()});
  if (detector_.suspected()) next = std::min(next, next_report_);
  return next;
}

void GroupMonitor::OnConnectionOpened(ConnectionId connection,
                                      TimePoint /*now*/) {
  for (auto& [name, owned] : owned_) {
    if (owned.connection != connection) continue;
    owned.open = true;
    owned.awaited = 0;
  }
}

void GroupMonitor::OnConnectionClosed(ConnectionId connection,
                                      TimePoint /*now*/) {
  for (auto& [name, owned] : owned_) {
    if (owned.connection != connection) continue;
    owned.connection = 0;
    owned.open = false;
    owned.awaited = 0;
  }
}

void GroupMonitor::OnAnswer(ConnectionId connection,
                            const EndpointAnswer& answer, TimePoint now) {
  for (auto& [name, owned] : owned_) {
    if (owned.connection != connection || !owned.open || owned.awaited == 0 ||
        owned.awaited != answer.correlation) {
      continue;
    }
    owned.awaited = 0;
    OnOwnedEndpointStatus(name, owned, answer, now);
    break;
  }
  StartChangeIfNeeded(now);
}

void GroupMonitor::OnSuspicionChanged(bool suspected, TimePoint now) {
  SendReports(now);
  if (!suspected) promoter_.Withdraw(now);
}

void GroupMonitor::OnConnectionSilent(TimePoint now) {
  handler_.OnConnectionsSilent(directory_.ViewOf(service_).primary, now);
}

void GroupMonitor::OnHigherTermSeen(const EndpointAnswer& answer,
                                    TimePoint now) {
  promoter_.RecordSeenTerm(answer.term);
  if (answer.primary.empty()) return;
  Apply({service_.name, answer.term, answer.primary, {}}, now);
}

void GroupMonitor::OnPromoted(const GroupUpdateMessage& update, TimePoint now) {
  handler_.OnPromotionCompleted(update);
  Apply(update, now);
  publisher_.Publish(update, Duration(0), now);
  // Sends the update directly to peers that own an endpoint. Other peers
  // receive it through OnGroupChanged().
  std::set<VmName> notified = {vm_};
  for (const EndpointConfig& endpoint : service_.endpoints) {
    const VmName owner = OwnerOf(endpoint);
    if (!owner.empty() && notified.insert(owner).second) {
      peers_.Send(owner, update);
    }
  }
}

void GroupMonitor::OnHoldWrites(TimePoint now) {
  handler_.HoldWrites(service_.name, now);
}

void GroupMonitor::OnReleaseWrites(TimePoint now) {
  next_planned_change_ = now + kPlannedChangeRetry;
  handler_.ReleaseWrites(service_.name, now);
}

bool GroupMonitor::WritesInFlight() {
  return handler_.WritesInFlight(service_.name);
}

void GroupMonitor::Refresh(TimePoint now) {
  next_refresh_ = now + kRefreshInterval;
  std::erase_if(reports_,
                [now](const auto& entry) { return entry.second.until <= now; });
  RefreshOwnedEndpoints();
  WatchPrimary(now);
}

void GroupMonitor::RefreshOwnedEndpoints() {
  std::map<EndpointName, OwnedEndpoint, std::less<>> kept;
  for (const EndpointConfig& endpoint : service_.endpoints) {
    if (OwnerOf(endpoint) == vm_) {
      kept.emplace(endpoint.name, owned_[endpoint.name]);
      owned_.erase(endpoint.name);
    }
  }
  for (const auto& [name, owned] : owned_) {
    if (owned.connection != 0) link_.Close(owned.connection);
  }
  owned_ = std::move(kept);
}

void GroupMonitor::WatchPrimary(TimePoint now) {
  const GroupView& view = directory_.ViewOf(service_);
  const EndpointConfig* primary = Find(view.primary);
  if (owned_.empty() || primary == nullptr) {
    detector_.Stop();
    promoter_.Withdraw(now);
    return;
  }
  const bool newer = view.term > watched_term_;
  if (detector_.watching() && !newer && watched_address_ == primary->address) {
    return;
  }
  const bool after_promotion = newer && watched_term_ != 0;
  // A newer term ends the attempt, unless the attempt itself established the
  // term. Another part of the proxy may have applied the term to the directory.
  const bool own_term =
      view.term == promoter_.term() && promoter_.state() == "following";
  if (newer && !own_term) promoter_.Supersede(now);
  if (newer) planned_change_requested_ = false;
  watched_term_ = view.term;
  watched_address_ = primary->address;
  detector_.Watch(primary->address, view.term, after_promotion, now);
}

void GroupMonitor::Apply(const GroupUpdateMessage& update, TimePoint now) {
  if (!directory_.Apply(update)) return;
  WatchPrimary(now);
  const EndpointConfig* primary = Find(update.primary);
  if (primary != nullptr && OwnerOf(*primary) == vm_) {
    publisher_.Publish(update, kOwnerPublishDelay, now);
  }
  handler_.OnGroupChanged(update, now);
}

void GroupMonitor::SendReports(TimePoint now) {
  next_report_ = now + kReportInterval;
  const GroupView& view = directory_.ViewOf(service_);
  std::set<VmName> owners;
  for (const EndpointConfig& endpoint : service_.endpoints) {
    const VmName owner = OwnerOf(endpoint);
    if (!owner.empty() && owner != vm_) owners.insert(owner);
  }
  for (const auto& [name, owned] : owned_) {
    const SuspectReportMessage report{service_.name, view.term, view.primary,
                                      name, detector_.suspected()};
    for (const VmName& other : owners) peers_.Send(other, report);
  }
}

void GroupMonitor::QueryOwnedEndpoints(TimePoint now) {
  next_status_ = now + kStatusInterval;
  for (auto& [name, owned] : owned_) {
    if (owned.awaited != 0 && owned.sent_at + kStatusTimeout <= now) {
      link_.Close(owned.connection);
      owned.connection = 0;
      owned.open = false;
    }
    if (owned.connection == 0) {
      owned.connection = link_.Open(Find(name)->address, *this);
      // A connection that does not open times out like a missing answer.
      owned.awaited = next_correlation_++;
      owned.sent_at = now;
    } else if (owned.open && owned.awaited == 0) {
      EndpointCommand command;
      command.operation = EndpointOperation::kStatus;
      command.term = watched_term_;
      command.correlation = next_correlation_++;
      owned.awaited = command.correlation;
      owned.sent_at = now;
      link_.Send(owned.connection, command);
    }
  }
}

void GroupMonitor::OnOwnedEndpointStatus(const EndpointName& endpoint,
                                         OwnedEndpoint& owned,
                                         const EndpointAnswer& answer,
                                         TimePoint now) {
  directory_.RecordObservation(endpoint, {answer.position, answer.age, now});
  const Term term = directory_.ViewOf(service_).term;
  if (answer.term > term) {
    if (answer.primary.empty() && !owned.stranded_since) {
      owned.stranded_since = now;
    }
    OnHigherTermSeen(answer, now);
    return;
  }
  owned.stranded_since.reset();
  const EndpointName& primary = directory_.ViewOf(service_).primary;
  if (endpoint == primary ||
      (answer.term == term && answer.primary == primary &&
       answer.role == EndpointRole::kReplica)) {
    return;
  }
  EndpointCommand command;
  command.operation = EndpointOperation::kFollow;
  command.correlation = next_correlation_++;
  command.term = term;
  command.primary = primary;
  link_.Send(owned.connection, command);
}

void GroupMonitor::StartChangeIfNeeded(TimePoint now) {
  if (!promoter_.idle() || !detector_.watching()) return;
  const EndpointName primary = directory_.ViewOf(service_).primary;
  if (!detector_.suspected()) {
    if (next_planned_change_ > now) return;
    const auto stranded =
        std::find_if(owned_.begin(), owned_.end(), [now](const auto& entry) {
          const auto& since = entry.second.stranded_since;
          return since && *since + kMaxStrandedTime <= now;
        });
    if (planned_change_requested_) {
      next_planned_change_ = now + kPlannedChangeRetry;
      promoter_.StartPlannedChange({}, now);
    } else if (stranded != owned_.end()) {
      next_planned_change_ = now + kPlannedChangeRetry;
      stranded->second.stranded_since.reset();
      promoter_.StartPlannedChange(primary, now);
    }
    return;
  }
  int rank = 0;
  Duration stagger{0};
  for (const EndpointConfig& endpoint : service_.endpoints) {
    if (endpoint.name == primary) continue;
    if (owned_.contains(endpoint.name) && HasSecondObserver(endpoint, now)) {
      promoter_.StartAttempt(stagger + rank * kStaggerPerRank, now);
      return;
    }
    // A candidate of a lower rank that does not suspect the primary yet may be
    // one probe behind, and would then start together with this one.
    const auto report = reports_.find(endpoint.name);
    const bool suspects = report != reports_.end() &&
                          report->second.until > now &&
                          report->second.term == watched_term_;
    if (!suspects) stagger = kLateCandidateDelay;
    ++rank;
  }
}

bool GroupMonitor::HasSecondObserver(const EndpointConfig& own,
                                     TimePoint now) const {
  const bool owns_all =
      std::all_of(service_.endpoints.begin(), service_.endpoints.end(),
                  [this](const EndpointConfig& endpoint) {
                    return OwnerOf(endpoint) == vm_;
                  });
  if (owns_all || MutationEnabled(Mutation::kSkipSecondObserver)) return true;
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
    const EndpointConfig* observer = Find(entry.first);
    const Report& report = entry.second;
    return observer != nullptr && report.vm != vm_ && report.until > now &&
           report.term == watched_term_ &&
           observer->data_centre != own.data_centre;
  });
}

VmName GroupMonitor::OwnerOf(const EndpointConfig& endpoint) const {
  const std::vector<VmName> owners = owners_.OwnersOf(endpoint, 1);
  return owners.empty() ? VmName() : owners.front();
}

const EndpointConfig* GroupMonitor::Find(std::string_view endpoint) const {
  for (const EndpointConfig& declared : service_.endpoints) {
    if (declared.name == endpoint) return &declared;
  }
  return nullptr;
}

}  // namespace carawayhaven
