#ifndef CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_
#define CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "carawayhaven/time.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Lists the objects under a prefix of the platform's store once, then watches
/// the prefix for as long as this VM is a watcher. Lists again when the store
/// was restored from a copy. Not thread-safe.
class PrefixWatcher {
 public:
  /// Bounds of the back-off after a failed call. The delay is doubled after
  /// each failure and has jitter: otherwise 830 VMs that start while the store
  /// is down would make more calls per second than the store can serve when it
  /// is back.
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(8);
  /// Minimum time between the starts of two watches. The loss of a data centre
  /// changes hundreds of objects within seconds, and each change ends the
  /// watches of all watchers.
  static constexpr Duration kMinWatchInterval = std::chrono::milliseconds(250);
  static constexpr Duration kRoleCheckInterval = std::chrono::seconds(1);

  using ObjectsCallback = std::function<void(const std::vector<StoredObject>&)>;
  /// Called after the first list of a restored store was delivered.
  using RestoredCallback = std::function<void()>;

  /// `store` and `random` must outlive the watcher. `is_watcher` returns
  /// whether this VM keeps a watch pending; a pending watch counts as a call of
  /// the store.
  PrefixWatcher(PlatformStore& store, std::string prefix,
                std::mt19937_64& random, std::function<bool()> is_watcher,
                ObjectsCallback on_objects,
                RestoredCallback on_restored = nullptr);

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_; }

 private:
  void OnReply(const StoreReply& reply);

  PlatformStore& store_;
  std::string prefix_;
  std::mt19937_64& random_;
  std::function<bool()> is_watcher_;
  ObjectsCallback on_objects_;
  RestoredCallback on_restored_;
  std::shared_ptr<PrefixWatcher*> alive_;
  /// The `after` argument of the next watch.
  ObjectVersion revision_ = 0;
  /// Revision of the latest reply that has been delivered.
  ObjectVersion synced_revision_ = 0;
  TimePoint next_ = TimePoint::min();
  TimePoint next_watch_at_;
  Duration backoff_ = kInitialRetryDelay;
  /// The last call failed; the next Tick picks the retry delay.
  bool failed_ = false;
  bool listed_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_
