#include "core/failover/duty_election.h"

#include <algorithm>
#include <utility>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {

DutyElection::DutyElection(PlatformStore& store, VmName self, Clock clock)
    : store_(store),
      self_(std::move(self)),
      clock_(std::move(clock)),
      alive_(std::make_shared<DutyElection*>(this)) {}

bool DutyElection::IsOwn(const DutyRecord& record) const {
  return incarnation_ != 0 && record.holder == self_ &&
         record.incarnation == incarnation_ && !record.resigned;
}

void DutyElection::OnRecord(const DutyRecord& record, ObjectVersion version,
                            TimePoint now) {
  if (version <= version_) return;
  const bool was_own = IsOwn(record_);
  const DutyRecord previous = std::exchange(record_, record);
  const bool existed = version_ != 0;
  const TimePoint previous_learned = std::exchange(learned_, now);
  version_ = version;
  if (!IsOwn(record_) || was_own) return;
  // A process that ended, or that was this VM's, grants nothing any more.
  const bool stopped =
      !existed || previous.resigned || previous.holder == self_;
  promote_from_ = now + kRightDuration + kMargin;
  predecessor_.reset();
  if (!stopped) {
    promote_from_ = std::max(promote_from_, previous_learned + kAuthority +
                                                kRightDuration + kMargin);
    predecessor_ = previous;
  }
}

void DutyElection::OnRecordRemoved(TimePoint /*now*/) {
  record_ = {};
  version_ = 0;
}

bool DutyElection::IsHolder(TimePoint now) const {
  return !resigned_ && IsOwn(record_) && now < confirmed_ + kAuthority;
}

void DutyElection::TryTakeOver(TimePoint /*now*/) {
  if (writing_ || incarnation_ == 0 || resigned_) return;
  DutyRecord record{self_, incarnation_, false, record_.writes + 1};
  Write(record, nullptr);
}

void DutyElection::OnPredecessorStopped(TimePoint now) {
  predecessor_.reset();
  promote_from_ = std::min(promote_from_, now + kRightDuration + kMargin);
}

void DutyElection::TakeToken(TokenCallback done) {
  DutyRecord record = record_;
  ++record.writes;
  Write(record, std::move(done));
}

void DutyElection::Renew(TimePoint now) {
  if (writing_ || resigned_ || !IsOwn(record_) ||
      now - confirmed_ < kRenewInterval || now < next_renewal_) {
    return;
  }
  next_renewal_ = now + kRenewRetry;
  DutyRecord record = record_;
  ++record.writes;
  Write(record, nullptr);
}

void DutyElection::Resign(TimePoint now) {
  const bool held = IsHolder(now);
  resigned_ = true;
  if (!held) return;
  DutyRecord record = record_;
  record.resigned = true;
  ++record.writes;
  writing_ = false;
  Write(record, nullptr);
}

void DutyElection::Write(const DutyRecord& record, TokenCallback done) {
  if (writing_) {
    if (done != nullptr) done(std::nullopt);
    return;
  }
  writing_ = true;
  const TimePoint sent = clock_();
  store_.Put(
      kDutyPath, FormatRecord(record), version_,
      [alive = std::weak_ptr(alive_), record, sent,
       done = std::move(done)](const StoreReply& reply) {
        const auto self = alive.lock();
        if (self == nullptr) return;
        DutyElection& election = **self;
        election.writing_ = false;
        const bool written = reply.status == StoreStatus::kOk;
        if (written) {
          election.confirmed_ = std::max(election.confirmed_, sent);
          election.OnRecord(record, reply.object.version, election.clock_());
        } else if (reply.status == StoreStatus::kConflict) {
          election.OnConflict(reply.object);
        }
        if (done == nullptr) return;
        // The mirror may have told of a later holder meanwhile.
        const bool current =
            written && election.version_ == reply.object.version;
        done(current ? std::optional(reply.object.version) : std::nullopt);
      });
}

void DutyElection::OnConflict(const StoredObject& object) {
  try {
    OnRecord(ParseDutyRecord(object.value), object.version, clock_());
  } catch (const DecodeError&) {
    // The mirror reports an object that cannot be read.
  }
}

}  // namespace carawayhaven
