#ifndef CARAWAYHAVEN_CORE_GROUP_GROUP_RECORD_PUBLISHER_H_
#define CARAWAYHAVEN_CORE_GROUP_GROUP_RECORD_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "carawayhaven/time.h"
#include "core/peer_message.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Writes a group's newest term to the store, with a conditional update that
/// only ever raises the term, and retries until the store holds it. Each round
/// begins with a read, which also settles an update whose answer was lost.
/// Not thread-safe; one loop, one thread.
class GroupRecordPublisher {
 public:
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(200);
  /// Bounds the load of many groups on a store that is down or slow.
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(8);

  /// Receives a higher term that was found in the store. Called from the loop.
  using HigherTermCallback = std::function<void(const GroupUpdateMessage&)>;

  /// `store` and `random` must outlive the announcer.
  GroupRecordPublisher(PlatformStore& store, std::mt19937_64& random,
                       HigherTermCallback found);

  /// Announces the update, after `delay`, in place of one of a lower term.
  void Publish(const GroupUpdateMessage& update, Duration delay, TimePoint now);

  /// True when the store is known to hold the newest term given.
  bool done() const { return !pending_.has_value(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

 private:
  void Read();
  void OnRead(const StoreReply& reply);
  void OnWritten(const StoreReply& reply);
  void EndRound();

  PlatformStore& store_;
  std::mt19937_64& random_;
  HigherTermCallback found_;
  std::optional<GroupUpdateMessage> pending_;
  bool in_flight_ = false;
  Term written_term_ = 0;
  /// Set by a callback, which has no time: the next Tick sets the back-off.
  bool retry_wanted_ = false;
  std::uint32_t retries_ = 0;
  TimePoint next_round_;
  /// Expires with this object, so that a late callback has no effect.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_RECORD_PUBLISHER_H_
