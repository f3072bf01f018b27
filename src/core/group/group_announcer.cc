#include "core/group/group_announcer.h"

#include <algorithm>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "core/group/group_record.h"

namespace carawayhaven {

GroupRecordPublisher::GroupRecordPublisher(PlatformStore& store,
                                           std::mt19937_64& random,
                                           HigherTermCallback found)
    : store_(store), random_(random), on_higher_term_(std::move(found)) {}

void GroupRecordPublisher::Publish(const GroupUpdateMessage& update,
                                   Duration delay, TimePoint now) {
  if (pending_ && pending_->term >= update.term &&
      !pending_->term_starts.empty()) {
    return;
  }
  pending_ = update;
  retries_ = 0;
  next_attempt_ = now + delay;
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
    next_attempt_ = now + Duration(jitter(random_));
  }
  if (pending_ && !in_flight_ && next_attempt_ <= now) Read();
}

TimePoint GroupRecordPublisher::NextTick() const {
  if (retry_wanted_) return TimePoint::min();
  if (!pending_ || in_flight_) return TimePoint::max();
  return next_attempt_;
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
    ScheduleRetry();
    return;
  }
  if (reply.status == StoreStatus::kOk) {
    try {
      const GroupUpdateMessage stored =
          ParseGroupRecord(pending_->service, reply.object.value);
      if (stored.term >= pending_->term) {
        pending_.reset();
        on_higher_term_(stored);
        return;
      }
    } catch (const DecodeError&) {
      // Only proxies write this object, so a malformed one is overwritten.
    }
  }
  // A term learned from an endpoint has no term starts. Gives the candidate
  // that won the term, which has them, time to publish them first.
  if (pending_->term_starts.empty() && retries_ < 3) {
    ScheduleRetry();
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

// After kConflict or kUnknown, the next attempt reads what the store holds.
void GroupRecordPublisher::OnWritten(const StoreReply& reply) {
  in_flight_ = false;
  if (reply.status != StoreStatus::kOk) {
    ScheduleRetry();
    return;
  }
  // Publish() may have been called with a higher term during the update.
  if (pending_->term <= written_term_) pending_.reset();
}

void GroupRecordPublisher::ScheduleRetry() { retry_wanted_ = true; }

}  // namespace carawayhaven
