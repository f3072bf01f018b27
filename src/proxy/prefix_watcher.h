#ifndef CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_
#define CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "carawayhaven/time.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Reads the objects under a prefix of the platform's store once, and from then
/// on watches it while this VM has that role. Not thread-safe.
class PrefixWatcher {
 public:
  /// Pause after a call that failed; with two watchers in each of 6 data
  /// centres this is 24 calls a second while the store is down.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
  static constexpr Duration kRoleCheckInterval = std::chrono::seconds(1);

  using ObjectsCallback = std::function<void(const std::vector<StoredObject>&)>;

  /// `store` must outlive the watcher. `is_watcher` tells whether this VM
  /// keeps a watch pending; a waiting watch counts as a call of the store.
  PrefixWatcher(PlatformStore& store, std::string prefix,
                std::function<bool()> is_watcher, ObjectsCallback on_objects);

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_; }

 private:
  void OnReply(const StoreReply& reply);

  PlatformStore& store_;
  std::string prefix_;
  std::function<bool()> is_watcher_;
  ObjectsCallback on_objects_;
  std::shared_ptr<PrefixWatcher*> alive_;
  ObjectVersion revision_ = 0;
  TimePoint next_ = TimePoint::min();
  bool pending_ = false;
  bool listed_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_PREFIX_WATCHER_H_
