#include "proxy/prefix_watcher.h"

#include <algorithm>
#include <utility>

namespace carawayhaven {

PrefixWatcher::PrefixWatcher(PlatformStore& store, std::string prefix,
                             std::mt19937_64& random,
                             std::function<bool()> is_watcher,
                             ObjectsCallback on_objects,
                             RestoredCallback on_restored)
    : store_(store),
      prefix_(std::move(prefix)),
      random_(random),
      is_watcher_(std::move(is_watcher)),
      on_objects_(std::move(on_objects)),
      on_restored_(std::move(on_restored)),
      alive_(std::make_shared<PrefixWatcher*>(this)) {}

void PrefixWatcher::Tick(TimePoint now) {
  if (now < next_) return;
  if (failed_) {
    failed_ = false;
    std::uniform_int_distribution<Duration::rep> jitter(backoff_.count() / 2,
                                                        backoff_.count());
    next_ = now + Duration(jitter(random_));
    backoff_ = std::min(2 * backoff_, kMaxRetryDelay);
    return;
  }
  if (listed_ && !is_watcher_()) {
    next_ = now + kRoleCheckInterval;
    return;
  }
  // There is nothing to do until the reply arrives.
  next_ = TimePoint::max();
  next_watch_at_ = now + kMinWatchInterval;
  store_.Watch(prefix_, revision_,
               [alive = std::weak_ptr(alive_)](const StoreReply& reply) {
                 if (const auto self = alive.lock()) (*self)->OnReply(reply);
               });
}

void PrefixWatcher::OnReply(const StoreReply& reply) {
  if (reply.status == StoreStatus::kRevisionTooOld) {
    revision_ = 0;
    next_ = next_watch_at_;
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    failed_ = true;
    next_ = TimePoint::min();
    return;
  }
  listed_ = true;
  backoff_ = kInitialRetryDelay;
  const bool restored =
      EraOf(reply.revision) > EraOf(synced_revision_) && synced_revision_ != 0;
  revision_ = synced_revision_ = reply.revision;
  next_ = next_watch_at_;
  on_objects_(reply.objects);
  if (restored && on_restored_) on_restored_();
}

}  // namespace carawayhaven
