#include "core/failover/leader_election.h"

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
  if (version <= version_) return;
  const bool was_own = IsOwn(record_);
  record_ = record;
  const TimePoint previous_learned = std::exchange(learned_, now);
  version_ = version;
  if (!IsOwn(record_) || was_own) return;
  promote_from_ = now + kPrimaryLeaseDuration + kClockDriftMargin;
  active_predecessors_.clear();
  const TimePoint settled =
      std::max(promote_from_, previous_learned + kLeaderLease +
                                  kPrimaryLeaseDuration + kClockDriftMargin);
  for (const LeaderIdentity& tenure : record_.active_predecessors) {
    active_predecessors_[tenure] = settled;
  }
}

// Earlier holders stay in the record until they are known to grant nothing any
// more, so that a successor's successor waits for them as well.
std::vector<LeaderIdentity> LeaderElection::UnsettledAfterTakeOver() const {
  std::vector<LeaderIdentity> active_predecessors = record_.active_predecessors;
  // A process that ended, or that was this VM's, grants nothing any more.
  if (version_ != 0 && !record_.resigned && record_.leader != self_) {
    active_predecessors.push_back({record_.leader, record_.incarnation});
  }
  std::erase_if(active_predecessors, [this](const LeaderIdentity& tenure) {
    return tenure.leader == self_;
  });
  return active_predecessors;
}

void LeaderElection::Settle(TimePoint now) {
  std::erase_if(active_predecessors_,
                [now](const auto& entry) { return now >= entry.second; });
}

void LeaderElection::OnSuperseded(ObjectVersion version) {
  // While a write is under way the newer version may be its own.
  if (!writing_) superseded_by_ = std::max(superseded_by_, version);
}

void LeaderElection::OnRecordRemoved() {
  record_ = {};
  version_ = 0;
}

bool LeaderElection::IsLeader(TimePoint now) const {
  return !resigned_ && IsOwn(record_) && superseded_by_ <= version_ &&
         now < confirmed_ + kLeaderLease;
}

void LeaderElection::TryAcquireLeadership() {
  if (writing_ || incarnation_ == 0 || resigned_) return;
  LeaderRecord record{self_, incarnation_, false, record_.writes + 1,
                      UnsettledAfterTakeOver()};
  Write(record, nullptr);
}

void LeaderElection::OnLeaderStopped(const LeaderIdentity& tenure,
                                     TimePoint now) {
  const auto found = active_predecessors_.find(tenure);
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
  LeaderRecord record = record_;
  ++record.writes;
  Write(record, std::move(done));
}

void LeaderElection::Renew(TimePoint now) {
  if (writing_ || resigned_ || !IsOwn(record_) ||
      now - confirmed_ < kRenewInterval || now < next_renewal_) {
    return;
  }
  next_renewal_ = now + kRenewRetryInterval;
  Settle(now);
  LeaderRecord record = record_;
  ++record.writes;
  record.active_predecessors.clear();
  for (const auto& [tenure, settled] : active_predecessors_) {
    record.active_predecessors.push_back(tenure);
  }
  Write(record, nullptr);
}

void LeaderElection::Resign(TimePoint now) {
  const bool held = IsLeader(now);
  resigned_ = true;
  if (!held) return;
  LeaderRecord record = record_;
  record.resigned = true;
  ++record.writes;
  writing_ = false;
  Write(record, nullptr);
}

void LeaderElection::Write(const LeaderRecord& record, TokenCallback done) {
  if (writing_) {
    if (done != nullptr) done(std::nullopt);
    return;
  }
  writing_ = true;
  const TimePoint sent = clock_();
  store_.Put(
      kLeaderObjectPath, FormatRecord(record), version_,
      [alive = std::weak_ptr(alive_), record, sent,
       done = std::move(done)](const StoreReply& reply) {
        const auto self = alive.lock();
        if (self == nullptr) return;
        LeaderElection& election = **self;
        election.writing_ = false;
        const bool written = reply.status == StoreStatus::kOk;
        if (written) {
          election.confirmed_ = std::max(election.confirmed_, sent);
          election.failing_since_ = TimePoint::max();
          election.OnRecord(record, reply.object.version, election.clock_());
        } else if (reply.status == StoreStatus::kConflict) {
          election.OnConflict(reply.object);
        } else {
          election.failing_since_ = std::min(election.failing_since_, sent);
          election.last_write_failure_at_ = sent;
        }
        if (done == nullptr) return;
        // The mirror may have told of a later holder meanwhile.
        const bool current =
            written && election.version_ == reply.object.version;
        done(current ? std::optional(reply.object.version) : std::nullopt);
      });
}

void LeaderElection::OnConflict(const StoredObject& object) {
  try {
    OnRecord(ParseLeaderRecord(object.value), object.version, clock_());
  } catch (const DecodeError&) {
    // The mirror reports an object that cannot be read.
  }
}

}  // namespace carawayhaven
