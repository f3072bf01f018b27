#include "core/queue/work_queue.h"

#include <algorithm>

namespace carawayhaven {
namespace {

constexpr std::size_t kNeedsConnection = 1;
constexpr std::size_t kStartsWrite = 2;
/// About the cost of a short statement. A smaller quantum only adds rounds; a
/// larger one lets a team send bursts.
constexpr Duration kQuantum = std::chrono::milliseconds(5);
constexpr Duration kMaxNegativeDeficit = std::chrono::seconds(1);

bool IsEligible(std::size_t lane, const Eligibility& eligible) {
  return ((lane & kNeedsConnection) == 0 || eligible.connection_free) &&
         ((lane & kStartsWrite) == 0 || eligible.writes_allowed);
}

}  // namespace

bool WorkQueue::IsFull(const TeamName& team) const {
  if (size() >= policy_.queue_limit) return true;
  const auto found = team_sizes_.find(TeamKey(team));
  const double limit =
      policy_.fair_between_teams ? policy_.team_queue_share : 1;
  return found != team_sizes_.end() &&
         static_cast<double>(found->second) >=
             limit * static_cast<double>(policy_.queue_limit);
}

WorkId WorkQueue::Push(Work work) {
  const WorkId id = next_id_++;
  const WorkClass work_class = work.work_class;
  ClassQueue& queue = QueueOf(work_class);
  const TeamName key = TeamKey(work.request.team);
  const auto [found, inserted] = queue.teams.try_emplace(key);
  TeamQueue& team = found->second;
  if (inserted) {
    team.team = key;
    queue.ring.push_back(&team);
  }
  const std::size_t lane = LaneOf(work);
  team.backlog += work.cost;
  ++team.count;
  ++queue.count;
  ++team_sizes_[key];
  ++lane_sizes_[lane];
  deadlines_.emplace(work.request.deadline, id);
  const std::uint64_t fingerprint = work.fingerprint;
  team.lanes[lane].push_back({id, std::move(work)});
  entries_.emplace(id, EntryLocation{work_class, &team, lane,
                                     std::prev(team.lanes[lane].end())});
  if (work_class == WorkClass::kUnknownCost) AddUnknownCost(id, fingerprint);
  return id;
}

std::optional<Work> WorkQueue::Pop(WorkClass work_class,
                                   const Eligibility& eligible) {
  ClassQueue& queue = QueueOf(work_class);
  TeamQueue* chosen = nullptr;
  std::int64_t fewest_rounds = 0;
  for (TeamQueue* team : queue.ring) {
    const auto lane = EligibleLane(*team, eligible);
    if (!lane) continue;
    const Duration missing =
        team->lanes[*lane].front().work.cost - team->deficit;
    const std::int64_t rounds =
        missing <= Duration{0} ? 0
                               : (missing + kQuantum - Duration{1}) / kQuantum;
    if (chosen == nullptr || rounds < fewest_rounds) {
      chosen = team;
      fewest_rounds = rounds;
    }
    if (rounds == 0) break;
  }
  if (chosen == nullptr) return std::nullopt;
  // Rounds in which no team could start work are added in one step.
  if (fewest_rounds > 0) {
    for (TeamQueue* team : queue.ring) {
      if (EligibleLane(*team, eligible)) {
        team->deficit += fewest_rounds * kQuantum;
      }
    }
  }
  const std::size_t lane = *EligibleLane(*chosen, eligible);
  const Entry& head = chosen->lanes[lane].front();
  chosen->deficit -= head.work.cost;
  if (chosen->count > 1 && chosen->deficit < head.work.cost) {
    queue.ring.remove(chosen);
    queue.ring.push_back(chosen);
  }
  return Extract(entries_.at(head.id));
}

const Work* WorkQueue::Oldest(WorkClass work_class,
                              const Eligibility& eligible) const {
  const Work* oldest = nullptr;
  for (const TeamQueue* team : QueueOf(work_class).ring) {
    const auto lane = EligibleLane(*team, eligible);
    if (!lane) continue;
    const Work& head = team->lanes[*lane].front().work;
    if (oldest == nullptr || head.arrival < oldest->arrival) oldest = &head;
  }
  return oldest;
}

std::optional<Work> WorkQueue::PopFrequentUnknownCost(
    const Eligibility& eligible, std::span<const std::uint64_t> running) {
  // The loop skips at most as many fingerprints as there are running
  // statements.
  for (std::uint64_t fingerprint : frequent_fingerprints_) {
    if (std::find(running.begin(), running.end(), fingerprint) !=
        running.end()) {
      continue;
    }
    const EntryLocation location =
        entries_.at(*unknown_cost_work_.at(fingerprint).begin());
    if (!IsEligible(location.lane, eligible)) return std::nullopt;
    location.team->deficit -= location.entry->work.cost;
    return Extract(location);
  }
  return std::nullopt;
}

std::optional<Work> WorkQueue::Remove(WorkId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  return Extract(found->second);
}

std::vector<Work> WorkQueue::TakeExpired(TimePoint now) {
  std::vector<Work> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(Extract(entries_.at(deadlines_.begin()->second)));
  }
  return expired;
}

std::vector<Work> WorkQueue::TakeUnknownCostWork(std::uint64_t fingerprint) {
  std::vector<Work> taken;
  while (true) {
    const auto found = unknown_cost_work_.find(fingerprint);
    if (found == unknown_cost_work_.end()) return taken;
    taken.push_back(Extract(entries_.at(*found->second.begin())));
  }
}

std::vector<Work> WorkQueue::TakeAllNeedingConnection() {
  std::vector<WorkId> ids;
  for (const auto& [id, location] : entries_) {
    if (location.lane & kNeedsConnection) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  std::vector<Work> taken;
  taken.reserve(ids.size());
  for (WorkId id : ids) taken.push_back(Extract(entries_.at(id)));
  return taken;
}

TimePoint WorkQueue::NextDeadline() const {
  return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
}

Duration WorkQueue::BacklogBefore(WorkClass work_class,
                                  const TeamName& team) const {
  const ClassQueue& queue = QueueOf(work_class);
  const auto own = queue.teams.find(TeamKey(team));
  const Duration own_backlog =
      own == queue.teams.end() ? Duration{0} : own->second.backlog;
  Duration sum{0};
  for (const TeamQueue* other : queue.ring) {
    sum += std::min(other->backlog, own_backlog);
  }
  return sum;
}

Duration WorkQueue::Backlog(WorkClass work_class) const {
  Duration sum{0};
  for (const TeamQueue* team : QueueOf(work_class).ring) sum += team->backlog;
  return sum;
}

void WorkQueue::CorrectDeficit(WorkClass work_class, const TeamName& team,
                               Duration difference) {
  ClassQueue& queue = QueueOf(work_class);
  const auto found = queue.teams.find(TeamKey(team));
  if (found == queue.teams.end()) return;
  found->second.deficit =
      std::max(found->second.deficit - difference, -kMaxNegativeDeficit);
}

std::size_t WorkQueue::size(WorkClass work_class) const {
  return QueueOf(work_class).count;
}

std::size_t WorkQueue::WaitingForConnection(bool writes_allowed) const {
  return lane_sizes_[kNeedsConnection] +
         (writes_allowed ? lane_sizes_[kNeedsConnection | kStartsWrite] : 0);
}

std::size_t WorkQueue::LaneOf(const Work& work) {
  return (work.needs_connection ? kNeedsConnection : 0) |
         (work.starts_write ? kStartsWrite : 0);
}

// Returns the lane whose first work has waited longest among those that may
// start.
std::optional<std::size_t> WorkQueue::EligibleLane(
    const TeamQueue& team, const Eligibility& eligible) {
  std::optional<std::size_t> best;
  for (std::size_t lane = 0; lane < team.lanes.size(); ++lane) {
    if (team.lanes[lane].empty() || !IsEligible(lane, eligible)) continue;
    if (!best || team.lanes[lane].front().work.arrival <
                     team.lanes[*best].front().work.arrival) {
      best = lane;
    }
  }
  return best;
}

TeamName WorkQueue::TeamKey(const TeamName& team) const {
  return policy_.fair_between_teams ? team : TeamName();
}

const WorkQueue::ClassQueue& WorkQueue::QueueOf(WorkClass work_class) const {
  return classes_[static_cast<std::size_t>(work_class)];
}

WorkQueue::ClassQueue& WorkQueue::QueueOf(WorkClass work_class) {
  return classes_[static_cast<std::size_t>(work_class)];
}

void WorkQueue::AddUnknownCost(WorkId id, std::uint64_t fingerprint) {
  std::set<WorkId>& waiting = unknown_cost_work_[fingerprint];
  waiting.insert(id);
  if (waiting.size() < policy_.frequent_count) return;
  const auto arrival = [this](WorkId of) {
    return entries_.at(of).entry->work.arrival;
  };
  const WorkId first_of_burst = *std::prev(
      waiting.end(), static_cast<std::ptrdiff_t>(policy_.frequent_count));
  if (arrival(id) - arrival(first_of_burst) <= policy_.frequent_window) {
    frequent_fingerprints_.insert(fingerprint);
  }
}

void WorkQueue::RemoveUnknownCost(WorkId id, std::uint64_t fingerprint) {
  const auto waiting = unknown_cost_work_.find(fingerprint);
  waiting->second.erase(id);
  if (!waiting->second.empty()) return;
  unknown_cost_work_.erase(waiting);
  frequent_fingerprints_.erase(fingerprint);
}

Work WorkQueue::Extract(const EntryLocation& location) {
  const EntryLocation at = location;
  ClassQueue& queue = QueueOf(at.work_class);
  const WorkId id = at.entry->id;
  Work work = std::move(at.entry->work);
  at.team->lanes[at.lane].erase(at.entry);
  at.team->backlog -= work.cost;
  --at.team->count;
  --queue.count;
  --lane_sizes_[at.lane];
  const auto team_size = team_sizes_.find(at.team->team);
  if (--team_size->second == 0) team_sizes_.erase(team_size);
  deadlines_.erase({work.request.deadline, id});
  entries_.erase(id);
  if (at.work_class == WorkClass::kUnknownCost) {
    RemoveUnknownCost(id, work.fingerprint);
  }
  if (at.team->count == 0) {
    queue.ring.remove(at.team);
    queue.teams.erase(TeamName(at.team->team));
  }
  return work;
}

}  // namespace carawayhaven
