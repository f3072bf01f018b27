#ifndef CARAWAYHAVEN_CORE_CONFIG_OBJECT_WATCHER_H_
#define CARAWAYHAVEN_CORE_CONFIG_OBJECT_WATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "carawayhaven/time.h"
#include "core/limits/backoff.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Receives changes of the objects under a prefix.
class ObjectWatcherEvents {
 public:
  virtual ~ObjectWatcherEvents() = default;

  /// The object is new or has changed.
  virtual void OnObject(const StoredObject& object, TimePoint now) = 0;
  virtual void OnObjectRemoved(std::string_view path, TimePoint now) = 0;

  /// All changes that the store had made when a call was sent at `sent` have
  /// been delivered.
  virtual void OnObjectsSynced(TimePoint sent, TimePoint now) = 0;

  /// The store was restored from a copy: all objects have been reported again.
  /// Those that were written since the copy are missing or outdated until
  /// their writers have written them again.
  virtual void OnStoreRestored(TimePoint /*now*/) {}

  /// The store has stopped or started to answer.
  virtual void OnStoreReachabilityChanged(bool reachable, TimePoint now) = 0;
};

/// Watches the objects under a prefix of the store: lists them once, then
/// receives changes, and lists them again when changes were missed or the store
/// was restored. Not thread-safe.
class ObjectWatcher {
 public:
  using Clock = std::function<TimePoint()>;

  /// All references must outlive the watcher.
  ObjectWatcher(PlatformStore& store, std::string prefix, Clock clock,
                std::mt19937_64& random, ObjectWatcherEvents& events);

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_; }

  /// Sets the shortest time between two watches that return changes, so that
  /// changes in quick succession arrive together. The first change after a
  /// pause is not delayed. 0 at first.
  void SetMinInterval(Duration interval) { min_interval_ = interval; }

  /// Makes the next call list all objects instead of waiting for changes.
  void Relist(TimePoint now);

  /// True after the first complete list.
  bool listed() const { return listed_; }
  bool reachable() const { return reachable_; }
  /// Send time of the latest call whose reply has been delivered.
  TimePoint synced_at() const { return synced_at_; }

 private:
  void OnReply(const StoreReply& reply, TimePoint sent);
  void SetReachable(bool reachable, TimePoint now);

  PlatformStore& store_;
  std::string prefix_;
  Clock clock_;
  std::mt19937_64& random_;
  ObjectWatcherEvents& events_;
  Backoff backoff_;
  /// The `after` argument of the next call.
  ObjectVersion revision_ = 0;
  /// Revision of the latest reply that has been delivered.
  ObjectVersion synced_revision_ = 0;
  std::map<std::string, ObjectVersion> known_;
  Duration min_interval_{0};
  TimePoint next_;
  TimePoint synced_at_;
  bool listed_ = false;
  bool reachable_ = true;
  /// Lets a late reply detect that the watcher has been destroyed.
  std::shared_ptr<ObjectWatcher*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_OBJECT_WATCHER_H_
