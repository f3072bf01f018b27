#include "core/failover/duty_election.h"

#include <algorithm>
#include <utility>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {

LeaderElection::LeaderElection(PlatformStore& store, VmName self, Clock clock)
    : store_(store),
      self_(std::move(self)),
      clock_(std::move(clock)),
      alive_(std::make_shared<LeaderElection*>(this)) {}

bool LeaderElection::IsOwn(const LeaderRecord& record) const {
  return incarnation_ != 0 && record.leader == self_ &&
         record.incarnation == incarnation_ && !record.resigned;
}

void LeaderElection::OnRecord(const LeaderRecord& record, ObjectVersion version,
                              TimePoint now) {
  OnEra(EraOf(version), now);
  if (version <= version_ || EraOf(version) < era_) return;
  const bool was_own = IsOwn(record_);
  record_ = record;
  const TimePoint previous_learned = std::exchange(learned_, now);
  version_ = version;
  if (IsOwn(record_) && !was_own) BeginTerm(previous_learned, now);
  CompleteObservedWrite();
}

void LeaderElection::BeginTerm(TimePoint previous_learned, TimePoint now) {
  promote_from_ = now + kPrimaryLeaseDuration + kClockDriftMargin;
  active_predecessors_.clear();
  const TimePoint lease_end = std::max(
      promote_from_, std::max(previous_learned, era_since_) + kLeaderLease +
                         kPrimaryLeaseDuration + kClockDriftMargin);
  for (const LeaderIdentity& predecessor : record_.active_predecessors) {
    active_predecessors_[predecessor] = lease_end;
  }
}

// Earlier leaders stay in the record until they are known to grant no leases
// any more, so that the next successor waits for them as well.
std::vector<LeaderIdentity> LeaderElection::PredecessorsAfterTakeOver() const {
  std::vector<LeaderIdentity> active_predecessors = record_.active_predecessors;
  // A leader that resigned, or an earlier process of this VM, grants no leases
  // any more.
  if (version_ != 0 && !record_.resigned && record_.leader != self_) {
    active_predecessors.push_back({record_.leader, record_.incarnation});
  }
  std::erase_if(active_predecessors, [this](const LeaderIdentity& predecessor) {
    return predecessor.leader == self_;
  });
  if (MayHaveLostPredecessors()) {
    active_predecessors.push_back({VmName(), MakeVersion(era_, 0)});
  }
  return active_predecessors;
}

bool LeaderElection::IsRecordCurrent() const {
  return version_ != 0 && EraOf(version_) == era_ &&
         record_.era.value_or(era_) == era_;
}

bool LeaderElection::MayHaveLostPredecessors() const {
  return era_ != 0 && !IsRecordCurrent();
}

bool LeaderElection::OnEra(std::uint64_t era, TimePoint now) {
  if (era <= era_) return false;
  era_ = era;
  era_since_ = now;
  // A leader record in the copy may name this process under its old number.
  incarnation_ = 0;
  // The outcome of a write in flight says nothing about this era.
  pending_writes_.clear();
  return true;
}

// The record of an unknown leader may have been overwritten. It is named as a
// predecessor without a name, whose leases have to expire. The leader itself
// cannot tell whether it was superseded, so it loses leadership too.
void LeaderElection::OnUnreadableRecord(ObjectVersion version, TimePoint now) {
  if (version <= version_) return;
  LeaderRecord unknown;
  unknown.writes = record_.writes;
  unknown.active_predecessors = PredecessorsAfterTakeOver();
  OnRecord(unknown, version, now);
}

void LeaderElection::RemoveExpiredPredecessors(TimePoint now) {
  std::erase_if(active_predecessors_,
                [now](const auto& entry) { return now >= entry.second; });
}

void LeaderElection::OnSuperseded(ObjectVersion version) {
  // While a write is in flight, the newer version may be its result.
  if (!pending_writes_.empty()) return;
  superseded_by_ = std::max(superseded_by_, version);
}

void LeaderElection::OnRecordRemoved(TimePoint now) {
  record_ = {};
  learned_ = now;
  version_ = 0;
}

bool LeaderElection::IsLeader(TimePoint now) const {
  return !resigned_ && IsOwn(record_) && superseded_by_ <= version_ &&
         now < renewed_at_ + kLeaderLease;
}

void LeaderElection::TryAcquireLeadership() {
  if (!pending_writes_.empty() || incarnation_ == 0 || resigned_) return;
  LeaderRecord record{
      self_, incarnation_, false, record_.writes, PredecessorsAfterTakeOver(),
      era_};
  Write(record, nullptr);
}

void LeaderElection::OnLeaderStopped(const LeaderIdentity& predecessor,
                                     TimePoint now) {
  const auto found = active_predecessors_.find(predecessor);
  if (found == active_predecessors_.end()) return;
  found->second =
      std::min(found->second, now + kPrimaryLeaseDuration + kClockDriftMargin);
}

bool LeaderElection::MayPromote(TimePoint now) const {
  if (!IsLeader(now) || now < promote_from_) return false;
  return std::all_of(active_predecessors_.begin(), active_predecessors_.end(),
                     [now](const auto& entry) { return now >= entry.second; });
}

void LeaderElection::WriteFencingToken(TokenCallback done) {
  if (!pending_writes_.empty() &&
      clock_() - pending_writes_.back()->sent < kOverdueAnswer) {
    done(std::nullopt);
    return;
  }
  Write(record_, std::move(done));
}

void LeaderElection::Renew(TimePoint now) {
  if (!pending_writes_.empty() || resigned_ || !IsOwn(record_) ||
      now - renewed_at_ < kRenewInterval || now < next_renewal_) {
    return;
  }
  next_renewal_ = now + kRenewRetryInterval;
  RemoveExpiredPredecessors(now);
  LeaderRecord record = record_;
  record.active_predecessors.clear();
  for (const auto& [predecessor, lease_end] : active_predecessors_) {
    record.active_predecessors.push_back(predecessor);
  }
  Write(record, nullptr);
}

void LeaderElection::Resign(TimePoint now) {
  const bool held = IsLeader(now);
  resigned_ = true;
  if (!held) return;
  LeaderRecord record = record_;
  record.resigned = true;
  Write(record, nullptr);
}

void LeaderElection::Write(LeaderRecord record, TokenCallback done) {
  last_write_ = std::max(last_write_, record.writes) + 1;
  record.writes = last_write_;
  const auto write = std::make_shared<PendingWrite>(
      PendingWrite{std::move(record), clock_(), std::move(done)});
  pending_writes_.push_back(write);
  store_.Put(kLeaderObjectPath, FormatRecord(write->record), version_,
             [alive = std::weak_ptr(alive_), write](const StoreReply& reply) {
               const auto self = alive.lock();
               if (self == nullptr) return;
               LeaderElection& election = **self;
               election.RemovePendingWrite(write);
               if (reply.status == StoreStatus::kOk) {
                 election.OnRecord(write->record, reply.object.version,
                                   election.clock_());
                 election.OnWritten(*write, reply.object.version);
               } else if (reply.status == StoreStatus::kConflict) {
                 election.OnConflict(reply.object);
               } else if (reply.status == StoreStatus::kNotFound &&
                          EraOf(election.version_) < reply.era) {
                 election.OnRecordRemoved(election.clock_());
               } else if (election.renewed_at_ < write->sent) {
                 election.failing_since_ =
                     std::min(election.failing_since_, write->sent);
                 election.last_write_failure_at_ = write->sent;
               }
               const TokenCallback failed = std::exchange(write->done, nullptr);
               if (failed != nullptr) failed(std::nullopt);
             });
}

void LeaderElection::OnWritten(PendingWrite& write, ObjectVersion version) {
  renewed_at_ = std::max(renewed_at_, write.sent);
  failing_since_ = TimePoint::max();
  const TokenCallback done = std::exchange(write.done, nullptr);
  if (done == nullptr) return;
  // The object watcher may have reported a later leader meanwhile.
  done(version_ == version ? std::optional(version) : std::nullopt);
}

void LeaderElection::CompleteObservedWrite() {
  if (record_.leader != self_) return;
  const auto found =
      std::find_if(pending_writes_.begin(), pending_writes_.end(),
                   [this](const std::shared_ptr<PendingWrite>& write) {
                     return write->record.incarnation == record_.incarnation &&
                            write->record.writes == record_.writes;
                   });
  if (found == pending_writes_.end()) return;
  const std::shared_ptr<PendingWrite> write = *found;
  pending_writes_.erase(found);
  OnWritten(*write, version_);
}

void LeaderElection::RemovePendingWrite(
    const std::shared_ptr<PendingWrite>& write) {
  std::erase(pending_writes_, write);
}

void LeaderElection::OnConflict(const StoredObject& object) {
  try {
    OnRecord(ParseLeaderRecord(object.value), object.version, clock_());
  } catch (const DecodeError&) {
    // The object watcher delivers the same object to FailoverManager, which
    // reports that it is malformed.
    OnUnreadableRecord(object.version, clock_());
  }
}

}  // namespace carawayhaven
