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

/// Reads the objects under a prefix of the platform's store once, and from then
/// on watches it while this VM has that role. Not thread-safe.
class PrefixWatcher {
 public:
  /// Bounds of the pause after a call that failed, doubled each time and with
  /// jitter: 830 VMs that start while the store is down would otherwise make
  /// more calls than it takes in a second when it is back.
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(8);
  /// Least time between two watches. A lost data centre changes hundreds of
  /// objects within seconds, and each change ends the watches of all watchers.
  static constexpr Duration kMinWatchInterval = std::chrono::milliseconds(250);
  static constexpr Duration kRoleCheckInterval = std::chrono::seconds(1);

  using ObjectsCallback = std::function<void(const std::vector<StoredObject>&)>;

  /// `store` and `random` must outlive the watcher. `is_watcher` tells whether
  /// this VM keeps a watch pending; a waiting watch counts as a call of the
  /// store.
  PrefixWatcher(PlatformStore& store, std::string prefix,
                std::mt19937_64& random, std::function<bool()> is_watcher,
                ObjectsCallback on_objects);

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_; }

 private:
  void OnReply(const StoreReply& reply);

  PlatformStore& store_;
  std::string prefix_;
  std::mt19937_64& random_;
  std::function<bool()> is_watcher_;
  ObjectsCallback on_objects_;
  std::shared_ptr<PrefixWatcher*> alive_;
  ObjectVersion revision_ = 0;
  TimePoint next_ = TimePoint::min();
  TimePoint next_watch_at_;
  Duration backoff_ = kInitialRetryDelay;
  /// The last call failed; its pause is drawn in the next Tick.
  bool failed_ = false;
  bool listed_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_
