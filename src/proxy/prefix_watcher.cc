#include "proxy/prefix_watcher.h"

#include <utility>

namespace carawayhaven {

PrefixWatcher::PrefixWatcher(PlatformStore& store, std::string prefix,
                             std::function<bool()> is_watcher,
                             ObjectsCallback on_objects)
    : store_(store),
      prefix_(std::move(prefix)),
      is_watcher_(std::move(is_watcher)),
      on_objects_(std::move(on_objects)),
      alive_(std::make_shared<PrefixWatcher*>(this)) {}

void PrefixWatcher::Tick(TimePoint now) {
  if (now < next_) return;
  next_ = now + (listed_ ? kRoleCheckInterval : kRetryInterval);
  if (pending_ || (listed_ && !is_watcher_())) return;
  pending_ = true;
  store_.Watch(prefix_, revision_,
               [alive = std::weak_ptr(alive_)](const StoreReply& reply) {
                 if (const auto self = alive.lock()) (*self)->OnReply(reply);
               });
}

void PrefixWatcher::OnReply(const StoreReply& reply) {
  pending_ = false;
  if (reply.status != StoreStatus::kOk) return;
  listed_ = true;
  revision_ = reply.revision;
  // The next watch starts at the end of this round.
  next_ = TimePoint::min();
  on_objects_(reply.objects);
}

}  // namespace carawayhaven
