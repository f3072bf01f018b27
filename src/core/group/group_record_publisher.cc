#include "core/group/group_record_publisher.h"

#include <algorithm>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "core/group/group_record.h"

namespace carawayhaven {

GroupRecordPublisher::GroupRecordPublisher(PlatformStore& store,
                                           std::mt19937_64& random,
                                           HigherTermCallback found)
    : store_(store), random_(random), found_(std::move(found)) {}

void GroupRecordPublisher::Publish(const GroupUpdateMessage& update,
                                   Duration delay, TimePoint now) {
  if (pending_ && pending_->term >= update.term &&
      !pending_->term_starts.empty()) {
    return;
  }
  pending_ = update;
  retries_ = 0;
  next_round_ = now + delay;
}

void GroupRecordPublisher::Tick(TimePoint now) {
  if (retry_wanted_) {
    retry_wanted_ = false;
    Duration limit = kInitialRetryDelay;
    for (std::uint32_t i = 0; i < retries_ && limit < kMaxRetryDelay; ++i) {
      limit *= 2;
    }
    limit = std::min(limit, kMaxRetryDelay);
    ++retries_;
    std::uniform_int_distribution<Duration::rep> jitter(limit.count() / 2,
                                                        limit.count());
    next_round_ = now + Duration(jitter(random_));
  }
  if (pending_ && !in_flight_ && next_round_ <= now) Read();
}

TimePoint GroupRecordPublisher::NextTick() const {
  if (retry_wanted_) return TimePoint::min();
  if (!pending_ || in_flight_) return TimePoint::max();
  return next_round_;
}

void GroupRecordPublisher::Read() {
  in_flight_ = true;
  store_.Get(GroupRecordPath(pending_->service),
             [this, alive = std::weak_ptr(alive_)](const StoreReply& reply) {
               if (!alive.expired()) OnRead(reply);
             });
}

void GroupRecordPublisher::OnRead(const StoreReply& reply) {
  in_flight_ = false;
  if (reply.status != StoreStatus::kOk &&
      reply.status != StoreStatus::kNotFound) {
    EndRound();
    return;
  }
  if (reply.status == StoreStatus::kOk) {
    try {
      const GroupUpdateMessage stored =
          ParseGroupRecord(pending_->service, reply.object.value);
      if (stored.term >= pending_->term) {
        pending_.reset();
        found_(stored);
        return;
      }
    } catch (const DecodeError&) {
      // The object is the project's own; one that is unreadable is replaced.
    }
  }
  // A term that was only learnt has no starts: those of the candidate's own
  // announcement are worth waiting for, and EndRound reads again.
  if (pending_->term_starts.empty() && retries_ < 3) {
    EndRound();
    return;
  }
  in_flight_ = true;
  written_term_ = pending_->term;
  const ObjectVersion expected =
      reply.status == StoreStatus::kOk ? reply.object.version : 0;
  store_.Put(GroupRecordPath(pending_->service), FormatGroupRecord(*pending_),
             expected,
             [this, alive = std::weak_ptr(alive_)](const StoreReply& written) {
               if (!alive.expired()) OnWritten(written);
             });
}

// After kConflict and kUnknown the next round reads what stands.
void GroupRecordPublisher::OnWritten(const StoreReply& reply) {
  in_flight_ = false;
  if (reply.status != StoreStatus::kOk) {
    EndRound();
    return;
  }
  // Announce may have been called with a higher term during the update.
  if (pending_->term <= written_term_) pending_.reset();
}

void GroupRecordPublisher::EndRound() { retry_wanted_ = true; }

}  // namespace carawayhaven
