#include "core/session/statement_queue.h"

#include <algorithm>
#include <bit>

namespace carawayhaven {
namespace {

// Indexes of lines; kNeedsPrimary is added for statements that need it.
constexpr std::size_t kByArrival = 0;
constexpr std::size_t kByLength = 1;
constexpr std::size_t kNeedsPrimary = 2;

TimePoint AgeingTime(const StatementJob& job) {
  return job.queued + job.max_queue_wait / 2;
}

// Costs within a factor of two are in one class, so that the noise of the
// estimates does not change the order of arrival.
int LengthOf(Duration cost) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(cost).count();
  return static_cast<int>(std::bit_width(
      static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0))));
}

}  // namespace

void StatementQueue::Add(const JobPtr& job, Duration cost) {
  Level& level = levels_[job->priority];
  Share& share = level.shares[job->organisation];
  // An organisation that was idle has no claim on work from that time.
  if (share.empty()) share.given = std::max(share.given, level.clock);
  const bool by_arrival = job->organisation.empty();
  const int length = by_arrival ? 0 : LengthOf(cost);
  const std::size_t line =
      by_arrival ? kByArrival
                 : kByLength + (job->needs_primary ? kNeedsPrimary : 0);
  share.lines[line].emplace(Key{length, job->received, next_sequence_++},
                            Entry{job, cost, length});
  if (!by_arrival) next_ageing_ = std::min(next_ageing_, AgeingTime(*job));
  ++size_;
}

void StatementQueue::BeginPass(TimePoint now) {
  pass_priority_ = 0;
  for (auto& [priority, level] : levels_) {
    for (auto& [organisation, share] : level.shares) {
      share.visited = {};
      share.skipped = {};
    }
  }
  if (now >= next_ageing_) OrderAgedByArrival(now);
}

void StatementQueue::OrderAgedByArrival(TimePoint now) {
  next_ageing_ = TimePoint::max();
  for (auto& [priority, level] : levels_) {
    for (auto& [organisation, share] : level.shares) {
      for (std::size_t line = kByLength; line < share.lines.size(); line += 2) {
        Line& aged = share.lines[line - 1];
        std::erase_if(share.lines[line], [this, now, &aged](auto& entry) {
          const TimePoint at = AgeingTime(*entry.second.job);
          if (now < at) {
            next_ageing_ = std::min(next_ageing_, at);
            return false;
          }
          const Key key{0, entry.first.received, entry.first.sequence};
          aged.emplace(key, std::move(entry.second));
          return true;
        });
      }
    }
  }
}

bool StatementQueue::Share::empty() const {
  return std::all_of(lines.begin(), lines.end(),
                     [](const Line& line) { return line.empty(); });
}

// Statements that have aged come first, in order of arrival. If the oldest is
// longer than a short one that has not aged, the two lines take turns: a
// backlog of aged long statements would hold up all short ones otherwise.
std::optional<std::size_t> StatementQueue::Share::NextLine() const {
  std::array<std::optional<std::size_t>, 2> heads;
  for (const std::size_t kind : {kByArrival, kByLength}) {
    const auto* others = Unvisited(*this, kind);
    const auto* primary = Unvisited(*this, kind + kNeedsPrimary);
    if (others != nullptr &&
        (primary == nullptr || others->first < primary->first)) {
      heads[kind] = kind;
    } else if (primary != nullptr) {
      heads[kind] = kind + kNeedsPrimary;
    }
  }
  const auto& [aged, fresh] = heads;
  if (!aged || !fresh) return aged ? aged : fresh;
  const bool is_longer = Unvisited(*this, *aged)->second.length >
                         Unvisited(*this, *fresh)->second.length;
  return is_longer && !arrival_is_next ? fresh : aged;
}

const std::pair<const StatementQueue::Key, StatementQueue::Entry>*
StatementQueue::Unvisited(const Share& share, std::size_t line) {
  const Line& entries = share.lines[line];
  if (share.skipped[line]) return nullptr;
  const auto& visited = share.visited[line];
  const auto next = visited ? entries.upper_bound(*visited) : entries.begin();
  return next == entries.end() ? nullptr : &*next;
}

std::optional<StatementQueue::Position> StatementQueue::Next() {
  for (auto at = levels_.lower_bound(pass_priority_); at != levels_.end();
       ++at) {
    pass_priority_ = at->first;
    Share* best = nullptr;
    for (auto& [organisation, share] : at->second.shares) {
      if (best != nullptr && share.given >= best->given) continue;
      if (share.NextLine()) best = &share;
    }
    if (best == nullptr) continue;
    const std::size_t line = *best->NextLine();
    const auto& [key, entry] = *Unvisited(*best, line);
    best->visited[line] = key;
    return Position{entry.job, line, key.received, key.sequence, key.length};
  }
  return std::nullopt;
}

void StatementQueue::Skip(const OrganisationName& organisation,
                          bool needs_primary) {
  const std::size_t first = needs_primary ? kNeedsPrimary : 0;
  for (auto& [priority, level] : levels_) {
    const auto share = level.shares.find(organisation);
    if (share == level.shares.end()) continue;
    share->second.skipped[first + kByArrival] = true;
    share->second.skipped[first + kByLength] = true;
  }
}

void StatementQueue::Start(const Position& position) { Erase(position, true); }

void StatementQueue::Drop(const Position& position) { Erase(position, false); }

void StatementQueue::Erase(const Position& position, bool charge) {
  const StatementJob& job = *position.job;
  const auto level = levels_.find(job.priority);
  if (level == levels_.end()) return;
  const auto found = level->second.shares.find(job.organisation);
  if (found == level->second.shares.end()) return;
  Share& share = found->second;
  const auto entry = share.lines[position.line].find(
      Key{position.length, position.received, position.sequence});
  // The caller's events may have removed the entry meanwhile.
  if (entry == share.lines[position.line].end()) return;
  if (charge) {
    level->second.clock = std::max(level->second.clock, share.given);
    share.given += entry->second.cost;
    share.arrival_is_next = position.line % 2 != kByArrival;
  }
  share.lines[position.line].erase(entry);
  --size_;
  Compact();
}

// Without waiting statements there is nothing to share, and the accounts start
// anew; this bounds the memory by the organisations of one busy period.
void StatementQueue::Compact() {
  if (size_ == 0) levels_.clear();
}

void StatementQueue::Remove(const JobPtr& job) {
  RemoveIf([&job](const JobPtr& queued) { return queued == job; });
}

void StatementQueue::RemoveIf(
    const std::function<bool(const JobPtr&)>& predicate) {
  for (auto& [priority, level] : levels_) {
    for (auto& [organisation, share] : level.shares) {
      for (Line& line : share.lines) {
        size_ -= std::erase_if(line, [&predicate](const auto& entry) {
          return predicate(entry.second.job);
        });
      }
    }
  }
  Compact();
}

bool StatementQueue::AnyOf(
    const std::function<bool(const StatementJob&)>& predicate) const {
  for (const auto& [priority, level] : levels_) {
    for (const auto& [organisation, share] : level.shares) {
      for (const Line& line : share.lines) {
        for (const auto& [key, entry] : line) {
          if (predicate(*entry.job)) return true;
        }
      }
    }
  }
  return false;
}

std::size_t StatementQueue::CountOf(
    const OrganisationName& organisation) const {
  std::size_t count = 0;
  for (const auto& [priority, level] : levels_) {
    const auto share = level.shares.find(organisation);
    if (share == level.shares.end()) continue;
    for (const Line& line : share->second.lines) count += line.size();
  }
  return count;
}

std::vector<StatementQueue::JobPtr> StatementQueue::Jobs() const {
  std::vector<JobPtr> jobs;
  jobs.reserve(size_);
  for (const auto& [priority, level] : levels_) {
    for (const auto& [organisation, share] : level.shares) {
      for (const Line& line : share.lines) {
        for (const auto& [key, entry] : line) jobs.push_back(entry.job);
      }
    }
  }
  return jobs;
}

void StatementQueue::Clear() {
  levels_.clear();
  size_ = 0;
}

Duration StatementQueue::EstimateWait(const StatementJob& job,
                                      TimePoint now) const {
  const auto is_comparable = [&job](const StatementJob& ahead) {
    const bool hedge = ahead.running > 0;
    return !ahead.done && !hedge && ahead.needs_primary == job.needs_primary;
  };
  if (job.organisation.empty()) {
    for (const auto& [priority, level] : levels_) {
      const auto share = level.shares.find(job.organisation);
      if (share == level.shares.end()) continue;
      for (const auto& [key, entry] : share->second.lines[kByArrival]) {
        if (entry.job.get() == &job) return Duration{0};
        if (is_comparable(*entry.job)) return now - entry.job->queued;
      }
    }
    return Duration{0};
  }
  const auto level = levels_.find(job.priority);
  if (level == levels_.end()) return Duration{0};
  const auto share = level->second.shares.find(job.organisation);
  if (share == level->second.shares.end()) return Duration{0};
  int length = 0;
  for (const Line& line : share->second.lines) {
    for (const auto& [key, entry] : line) {
      if (entry.job.get() == &job) length = entry.length;
    }
  }
  Duration wait{0};
  for (const Line& line : share->second.lines) {
    for (const auto& [key, entry] : line) {
      if (entry.job.get() != &job && entry.length <= length &&
          is_comparable(*entry.job)) {
        wait = std::max<Duration>(wait, now - entry.job->queued);
      }
    }
  }
  return wait;
}

TimePoint StatementQueue::LastStart(const StatementJob& job, Duration cost) {
  if (job.organisation.empty()) return job.deadline;
  // The estimate contains the endpoint's own queue. The bound keeps statements
  // that did not wait from being refused while an endpoint is slow, so that the
  // estimate can fall again.
  return job.deadline -
         std::min<Duration>(cost, (job.deadline - job.received) / 4);
}

}  // namespace carawayhaven
