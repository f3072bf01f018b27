#include "core/session/organisation_pool.h"

#include <algorithm>

namespace carawayhaven {

void OrganisationPool::Add(ConnectionId id, std::string_view organisation) {
  auto group = groups_.find(organisation);
  if (group == groups_.end()) {
    group = groups_.emplace(OrganisationName(organisation), Group{}).first;
  }
  ++group->second.opening;
  ++opening_;
  ++group->second.total;
  connections_[id] = {group, true, false, {}};
}

void OrganisationPool::SetIdle(ConnectionId id, TimePoint now) {
  Entry& entry = connections_.at(id);
  if (entry.opening) {
    entry.opening = false;
    --entry.group->second.opening;
    --opening_;
  }
  entry.idle_since = now;
  entry.group->second.idle.insert(id);
  idle_.insert(id);
}

void OrganisationPool::SetBusy(ConnectionId id) {
  Entry& entry = connections_.at(id);
  entry.used = true;
  entry.group->second.idle.erase(id);
  idle_.erase(id);
}

void OrganisationPool::Remove(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Groups::iterator group = found->second.group;
  if (found->second.opening) {
    --group->second.opening;
    --opening_;
  }
  group->second.idle.erase(id);
  if (--group->second.total == 0) groups_.erase(group);
  idle_.erase(id);
  connections_.erase(found);
}

const std::set<ConnectionId>& OrganisationPool::IdleOf(
    std::string_view organisation) const {
  static const std::set<ConnectionId> none;
  const auto group = groups_.find(organisation);
  return group == groups_.end() ? none : group->second.idle;
}

std::set<ConnectionId> OrganisationPool::All() const {
  std::set<ConnectionId> all;
  for (const auto& [id, entry] : connections_) all.insert(id);
  return all;
}

std::size_t OrganisationPool::TotalOf(std::string_view organisation) const {
  const auto group = groups_.find(organisation);
  return group == groups_.end() ? 0 : group->second.total;
}

bool OrganisationPool::IsOverShare(std::string_view organisation,
                                   std::size_t limit) const {
  return TotalOf(organisation) > MaxShare(limit);
}

bool OrganisationPool::MayOpen(std::string_view organisation,
                               std::size_t limit) const {
  if (connections_.size() < limit) return true;
  return connections_.size() == limit &&
         idle_.size() > IdleOf(organisation).size();
}

OrganisationPool::Decision OrganisationPool::Decide(
    std::string_view organisation, std::size_t limit, const Demand& demand,
    TimePoint now) const {
  const auto own = groups_.find(organisation);
  const std::size_t opening = own == groups_.end() ? 0 : own->second.opening;
  const std::size_t total = own == groups_.end() ? 0 : own->second.total;
  const std::size_t share = demand.others_wait ? MaxShare(limit) : limit;
  if (opening >= demand.queued || total >= share ||
      !MayOpen(organisation, limit)) {
    return {};
  }
  if (connections_.size() < limit) return {Decision::Kind::kOpen, 0, {}};
  Decision decision;
  TimePoint oldest = TimePoint::max();
  for (const ConnectionId id : idle_) {
    const Entry& entry = connections_.at(id);
    if (entry.group == own) continue;
    if (!entry.used && now - entry.idle_since < kFirstUseTime) {
      decision.retry_at =
          std::min(decision.retry_at, entry.idle_since + kFirstUseTime);
    } else if (entry.idle_since < oldest) {
      oldest = entry.idle_since;
      decision.kind = Decision::Kind::kReplace;
      decision.evicted = id;
    }
  }
  return decision;
}

}  // namespace carawayhaven
