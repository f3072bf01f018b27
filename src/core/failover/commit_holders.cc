#include "core/failover/commit_holders.h"

#include <algorithm>

namespace carawayhaven {

void CommitHolders::Load(const PrimaryRecord* record, bool is_first) {
  primary_.clear();
  holders_.clear();
  base_ =
      record == nullptr ? LogPosition{} : record->base.value_or(LogPosition{});
  if (record == nullptr || !record->replicas) {
    if (!is_first) AddUnknown();
    return;
  }
  primary_ = record->phase == PrimaryPhase::kPromoting ? record->replaced
                                                       : record->primary;
  for (const ReplicaProcess& process : *record->replicas) Add(process);
}

void CommitHolders::Add(const ReplicaProcess& process) {
  const auto place =
      std::lower_bound(holders_.begin(), holders_.end(), process,
                       [](const Holder& holder, const ReplicaProcess& added) {
                         return holder.process < added;
                       });
  if (place != holders_.end() && place->process == process) return;
  holders_.insert(place, Holder{process});
}

void CommitHolders::SetPrimary(const EndpointName& primary, LogPosition base) {
  if (!primary_.empty() && primary_ != primary) {
    holders_.clear();
    base_ = base;
  }
  primary_ = primary;
  std::erase_if(holders_, [&](const Holder& holder) {
    return holder.process.endpoint == primary;
  });
}

void CommitHolders::SetRunning(std::span<const ReplicaProcess> running,
                               bool is_withdrawn, TimePoint now) {
  for (Holder& holder : holders_) {
    const ReplicaProcess& process = holder.process;
    if (std::find(running.begin(), running.end(), process) != running.end()) {
      holder = Holder{process};
      continue;
    }
    holder.ended_at = std::min(holder.ended_at, now);
    const bool restarted =
        !holder.IsUnknown() &&
        std::any_of(running.begin(), running.end(),
                    [&](const ReplicaProcess& other) {
                      return other.endpoint == process.endpoint;
                    });
    if (!restarted || holder.restarted_at != TimePoint::max()) continue;
    holder.restarted_at = now;
    holder.restarted_after_withdrawal = is_withdrawn;
  }
}

void CommitHolders::OnPrimaryPosition(LogPosition position, TimePoint as_of) {
  for (Holder& holder : holders_) {
    if (!holder.last_acknowledged && as_of >= holder.ended_at) {
      holder.last_acknowledged = position;
    }
  }
}

void CommitHolders::RemoveMatched(std::span<const LogPosition> reached,
                                  std::uint32_t sync_replicas) {
  std::erase_if(holders_, [&](const Holder& holder) {
    if (!holder.last_acknowledged) return false;
    const auto matching = std::count_if(
        reached.begin(), reached.end(), [&](const LogPosition& position) {
          return position >= *holder.last_acknowledged;
        });
    return matching >= static_cast<std::ptrdiff_t>(sync_replicas);
  });
}

const CommitHolders::Holder* CommitHolders::Find(
    const ReplicaProcess& process) const {
  const auto found = std::find_if(
      holders_.begin(), holders_.end(),
      [&](const Holder& holder) { return holder.process == process; });
  return found == holders_.end() ? nullptr : &*found;
}

bool CommitHolders::HasEnded() const {
  return std::any_of(
      holders_.begin(), holders_.end(),
      [](const Holder& holder) { return holder.ended_at != TimePoint::max(); });
}

std::vector<ReplicaProcess> CommitHolders::processes() const {
  std::vector<ReplicaProcess> processes;
  for (const Holder& holder : holders_) processes.push_back(holder.process);
  return processes;
}

}  // namespace carawayhaven
