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
  record_ = record;
  const TimePoint previous_learned = std::exchange(learned_, now);
  version_ = version;
  if (!IsOwn(record_) || was_own) return;
  promote_from_ = now + kRightDuration + kMargin;
  unsettled_.clear();
  const TimePoint settled = std::max(
      promote_from_, previous_learned + kAuthority + kRightDuration + kMargin);
  for (const DutyTenure& tenure : record_.unsettled) {
    unsettled_[tenure] = settled;
  }
}

// Earlier holders stay in the record until they are known to grant nothing any
// more, so that a successor's successor waits for them as well.
std::vector<DutyTenure> DutyElection::UnsettledAfterTakeOver() const {
  std::vector<DutyTenure> unsettled = record_.unsettled;
  // A process that ended, or that was this VM's, grants nothing any more.
  if (version_ != 0 && !record_.resigned && record_.holder != self_) {
    unsettled.push_back({record_.holder, record_.incarnation});
  }
  std::erase_if(unsettled, [this](const DutyTenure& tenure) {
    return tenure.holder == self_;
  });
  return unsettled;
}

void DutyElection::Settle(TimePoint now) {
  std::erase_if(unsettled_,
                [now](const auto& entry) { return now >= entry.second; });
}

void DutyElection::OnSuperseded(ObjectVersion version) {
  // While a write is under way the newer version may be its own.
  if (!writing_) superseded_by_ = std::max(superseded_by_, version);
}

void DutyElection::OnRecordRemoved() {
  record_ = {};
  version_ = 0;
}

bool DutyElection::IsHolder(TimePoint now) const {
  return !resigned_ && IsOwn(record_) && superseded_by_ <= version_ &&
         now < confirmed_ + kAuthority;
}

void DutyElection::TryTakeOver() {
  if (writing_ || incarnation_ == 0 || resigned_) return;
  DutyRecord record{self_, incarnation_, false, record_.writes + 1,
                    UnsettledAfterTakeOver()};
  Write(record, nullptr);
}

void DutyElection::OnTenureEnded(const DutyTenure& tenure, TimePoint now) {
  const auto found = unsettled_.find(tenure);
  if (found == unsettled_.end()) return;
  found->second = std::min(found->second, now + kRightDuration + kMargin);
}

bool DutyElection::MayPromote(TimePoint now) const {
  if (!IsHolder(now) || now < promote_from_) return false;
  return std::all_of(unsettled_.begin(), unsettled_.end(),
                     [now](const auto& entry) { return now >= entry.second; });
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
  Settle(now);
  DutyRecord record = record_;
  ++record.writes;
  record.unsettled.clear();
  for (const auto& [tenure, settled] : unsettled_) {
    record.unsettled.push_back(tenure);
  }
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
          election.failing_since_ = TimePoint::max();
          election.OnRecord(record, reply.object.version, election.clock_());
        } else if (reply.status == StoreStatus::kConflict) {
          election.OnConflict(reply.object);
        } else {
          election.failing_since_ = std::min(election.failing_since_, sent);
          election.last_failed_ = sent;
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
