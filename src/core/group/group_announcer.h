#ifndef CARAWAYHAVEN_CORE_GROUP_GROUP_ANNOUNCER_H_
#define CARAWAYHAVEN_CORE_GROUP_GROUP_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "carawayhaven/time.h"
#include "core/peer_message.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Writes a group's newest term to the store with a conditional update that
/// never lowers the stored term, and retries until the store holds the term.
/// Each attempt starts with a read, which also detects an update that took
/// effect although its answer was lost. Not thread-safe; all calls must come
/// from the thread of the event loop.
class GroupRecordPublisher {
 public:
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(200);
  /// Bounds the load that many groups put on a store that is down or slow.
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(8);

  /// Receives the stored record when its term is at least the one to publish.
  /// Called from the event loop.
  using HigherTermCallback = std::function<void(const GroupUpdateMessage&)>;

  /// `store` and `random` must outlive the publisher.
  GroupRecordPublisher(PlatformStore& store, std::mt19937_64& random,
                       HigherTermCallback found);

  /// Publishes the update after `delay`. Replaces a pending update, unless that
  /// has the same or a higher term and has term starts.
  void Publish(const GroupUpdateMessage& update, Duration delay, TimePoint now);

  /// True when the store is known to hold the newest term passed to Publish().
  bool done() const { return !pending_.has_value(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

 private:
  void Read();
  void OnRead(const StoreReply& reply);
  void OnWritten(const StoreReply& reply);
  void ScheduleRetry();

  PlatformStore& store_;
  std::mt19937_64& random_;
  HigherTermCallback on_higher_term_;
  std::optional<GroupUpdateMessage> pending_;
  bool in_flight_ = false;
  Term written_term_ = 0;
  /// Set by a store callback, which does not know the time; the next Tick()
  /// then computes the back-off.
  bool retry_wanted_ = false;
  std::uint32_t retries_ = 0;
  TimePoint next_attempt_;
  /// Expires with this object, so that a late store callback has no effect.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_ANNOUNCER_H_
