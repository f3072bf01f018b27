#include "core/config/object_watcher.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace carawayhaven {
namespace {

// The store counts every call against its rate limit, including refused ones.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(60);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(600);

}  // namespace

ObjectWatcher::ObjectWatcher(PlatformStore& store, std::string prefix,
                             Clock clock, std::mt19937_64& random,
                             ObjectWatcherEvents& events)
    : store_(store),
      prefix_(std::move(prefix)),
      clock_(std::move(clock)),
      random_(random),
      events_(events),
      backoff_(kInitialRetryDelay, kMaxRetryDelay),
      alive_(std::make_shared<ObjectWatcher*>(this)) {}

void ObjectWatcher::Tick(TimePoint now) {
  if (now < next_) return;
  // No call is due until the reply arrives.
  next_ = TimePoint::max();
  store_.Watch(
      prefix_, revision_,
      [alive = std::weak_ptr(alive_), sent = now](const StoreReply& reply) {
        if (const auto self = alive.lock()) (*self)->OnReply(reply, sent);
      });
}

void ObjectWatcher::Relist(TimePoint now) {
  revision_ = 0;
  if (next_ != TimePoint::max()) next_ = now;
}

void ObjectWatcher::OnReply(const StoreReply& reply, TimePoint sent) {
  const TimePoint now = clock_();
  if (reply.status == StoreStatus::kRevisionTooOld) {
    revision_ = 0;
    next_ = now;
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    SetReachable(false, now);
    next_ = now + backoff_.Next(random_);
    return;
  }
  backoff_.Reset();
  SetReachable(true, now);
  std::set<std::string> present;
  for (const StoredObject& object : reply.objects) {
    present.insert(object.path);
    if (object.removed) {
      if (known_.erase(object.path) > 0) {
        events_.OnObjectRemoved(object.path, now);
      }
      continue;
    }
    ObjectVersion& version = known_[object.path];
    if (object.version <= version) continue;
    version = object.version;
    events_.OnObject(object, now);
  }
  if (reply.complete) {
    std::vector<std::string> gone;
    for (const auto& [path, version] : known_) {
      if (!present.contains(path)) gone.push_back(path);
    }
    for (const std::string& path : gone) {
      known_.erase(path);
      events_.OnObjectRemoved(path, now);
    }
    listed_ = true;
  }
  const bool restored =
      synced_revision_ != 0 && EraOf(reply.revision) > EraOf(synced_revision_);
  revision_ = synced_revision_ = reply.revision;
  synced_at_ = sent;
  next_ = reply.complete ? now : std::max(now, sent + min_interval_);
  if (restored) events_.OnStoreRestored(now);
  events_.OnObjectsSynced(sent, now);
}

void ObjectWatcher::SetReachable(bool reachable, TimePoint now) {
  if (std::exchange(reachable_, reachable) == reachable) return;
  events_.OnStoreReachabilityChanged(reachable, now);
}

}  // namespace carawayhaven
