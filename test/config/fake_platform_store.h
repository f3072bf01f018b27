#ifndef CARAWAYHAVEN_TEST_CONFIG_FAKE_PLATFORM_STORE_H_
#define CARAWAYHAVEN_TEST_CONFIG_FAKE_PLATFORM_STORE_H_

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/platform_store.h"
#include "membership/simulation.h"

namespace carawayhaven {

/// In-memory fake of the platform's store with injectable faults.
class FakePlatformStore {
 public:
  explicit FakePlatformStore(Simulation& simulation)
      : simulation_(simulation) {}

  /// While the store is down, calls end with kUnknown after one second and have
  /// no effect. Pending watches end with kUnknown.
  void SetDown(bool down) {
    down_ = down;
    if (!down) return;
    const std::list<PendingWatch> ended = std::exchange(watches_, {});
    for (const PendingWatch& watch : ended) {
      simulation_.After(delay_, [callback = watch.callback] { callback({}); });
    }
  }
  /// Begins a new era with the objects as they were at `copied_at`. Pending
  /// watches stay pending and notice nothing, as on connections that went
  /// silent.
  void Restore(TimePoint copied_at) {
    while (!history_.empty() && history_.back().at > copied_at) {
      const Change& change = history_.back();
      if (change.previous.version == 0) {
        objects_.erase(change.previous.path);
      } else {
        objects_[change.previous.path] = change.previous;
      }
      history_.pop_back();
    }
    revision_ = history_.empty() ? 0 : history_.back().revision;
    ++era_;
  }
  /// While overloaded, the store refuses calls immediately.
  void SetOverloaded(bool overloaded) { overloaded_ = overloaded; }
  void SetDelay(Duration delay) { delay_ = delay; }
  /// The next `count` updates take effect, but their replies are lost and the
  /// callers get kUnknown.
  void DropPutReplies(int count) { put_replies_to_drop_ = count; }
  /// While cut off, calls from the data centre behave as if the store
  /// were down.
  void SetCutOff(const std::string& data_centre, bool is_cut_off) {
    if (is_cut_off) {
      cut_off_.insert(data_centre);
    } else {
      cut_off_.erase(data_centre);
    }
  }

  std::uint64_t calls() const { return calls_; }
  std::uint64_t VersionOf(const std::string& path) const {
    const auto found = objects_.find(path);
    return found == objects_.end() || found->second.removed
               ? 0
               : MakeVersion(era_, found->second.version);
  }
  /// The objects that exist, with their values.
  std::map<std::string, std::string> Contents() const {
    std::map<std::string, std::string> contents;
    for (const auto& [path, object] : objects_) {
      if (!object.removed) contents[path] = object.value;
    }
    return contents;
  }

  /// Writes immediately, regardless of injected faults.
  ObjectVersion Write(const std::string& path, std::string_view value) {
    Record({path, std::string(value)});
    return MakeVersion(era_, revision_);
  }
  void Remove(const std::string& path) {
    if (VersionOf(path) != 0) Record({path, "", 0, true});
  }

  void Get(const std::string& data_centre, std::string_view path,
           const StoreCallback& callback) {
    if (!Admit(data_centre, callback)) return;
    simulation_.After(
        delay_, [this, data_centre, path = std::string(path), callback] {
          StoreReply reply;
          reply.status =
              VersionOf(path) == 0 ? StoreStatus::kNotFound : StoreStatus::kOk;
          if (VersionOf(path) != 0) reply.object = Stored(objects_.at(path));
          Reply(data_centre, reply, callback);
        });
  }

  void Put(const std::string& data_centre, std::string_view path,
           std::string_view value, ObjectVersion expected,
           const StoreCallback& callback) {
    if (expected != 0 && EraOf(expected) < seen_eras_[data_centre]) {
      Get(data_centre, path, [callback](StoreReply reply) {
        if (reply.status == StoreStatus::kOk) {
          reply.status = StoreStatus::kConflict;
        }
        callback(reply);
      });
      return;
    }
    if (!Admit(data_centre, callback)) return;
    simulation_.After(delay_, [this, data_centre, path = std::string(path),
                               value = std::string(value), expected, callback] {
      StoreReply reply;
      if (RevisionOf(VersionOf(path)) != RevisionOf(expected)) {
        reply.status = StoreStatus::kConflict;
        reply.object = {path, "", VersionOf(path)};
      } else {
        reply.status = StoreStatus::kOk;
        reply.object = {path, "", Write(path, value)};
        if (expected != 0 && EraOf(expected) != era_) {
          reply = WithStatus(StoreStatus::kUnknown);
        }
        if (put_replies_to_drop_ > 0) {
          --put_replies_to_drop_;
          simulation_.After(delay_, [callback] { callback({}); });
          return;
        }
      }
      Reply(data_centre, reply, callback);
    });
  }

  void Watch(const std::string& data_centre, std::string_view prefix,
             ObjectVersion after, const StoreCallback& callback) {
    if (after != 0 && EraOf(after) < seen_eras_[data_centre]) {
      Reply(data_centre, WithStatus(StoreStatus::kRevisionTooOld), callback);
      return;
    }
    if (!Admit(data_centre, callback)) return;
    if (RevisionOf(after) > revision_) {
      Reply(data_centre, WithStatus(StoreStatus::kRevisionTooOld), callback);
      return;
    }
    const std::uint64_t id = ++last_watch_;
    watches_.push_back({id, data_centre, std::string(prefix), after, callback});
    CompleteReadyWatches();
    simulation_.After(kWatchTimeout, [this, id] { EndWatch(id); });
  }

 private:
  /// A watch without changes ends after this time.
  static constexpr Duration kWatchTimeout = std::chrono::seconds(30);

  struct PendingWatch {
    std::uint64_t id = 0;
    std::string data_centre;
    std::string prefix;
    ObjectVersion after = 0;
    StoreCallback callback;
  };

  struct Change {
    TimePoint at;
    std::uint64_t revision = 0;
    /// The object before the change; version 0 if it did not exist.
    StoredObject previous;
  };

  bool Admit(const std::string& data_centre, const StoreCallback& callback) {
    ++calls_;
    if (overloaded_) {
      StoreReply reply;
      reply.status = StoreStatus::kOverloaded;
      reply.era = era_;
      simulation_.After(delay_, [reply, callback] { callback(reply); });
      return false;
    }
    if (!down_ && !cut_off_.contains(data_centre)) return true;
    simulation_.After(std::chrono::seconds(1),
                      [callback] { callback(StoreReply{}); });
    return false;
  }

  static StoreReply WithStatus(StoreStatus status) {
    StoreReply reply;
    reply.status = status;
    return reply;
  }

  void Record(StoredObject object) {
    object.version = ++revision_;
    StoredObject& stored = objects_[object.path];
    stored.path = object.path;
    history_.push_back({simulation_.now(), revision_, stored});
    stored = std::move(object);
    CompleteReadyWatches();
  }

  StoredObject Stored(StoredObject object) const {
    object.version = MakeVersion(era_, object.version);
    return object;
  }

  void Reply(const std::string& data_centre, StoreReply reply,
             const StoreCallback& callback) {
    reply.era = era_;
    simulation_.After(delay_,
                      [this, data_centre, reply = std::move(reply), callback] {
                        std::uint64_t& seen_era = seen_eras_[data_centre];
                        if (reply.era < seen_era) {
                          callback(WithStatus(StoreStatus::kUnknown));
                          return;
                        }
                        if (reply.era > seen_era) {
                          seen_era = reply.era;
                          EndOutdatedWatches(data_centre);
                        }
                        callback(reply);
                      });
  }

  void EndOutdatedWatches(const std::string& data_centre) {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      if (watch->data_centre != data_centre || watch->after == 0 ||
          EraOf(watch->after) == seen_eras_[data_centre]) {
        ++watch;
        continue;
      }
      Reply(data_centre, WithStatus(StoreStatus::kRevisionTooOld),
            watch->callback);
      watch = watches_.erase(watch);
    }
  }

  void ReplyToWatch(const PendingWatch& watch, StoreReply reply) {
    if (watch.after != 0 && EraOf(watch.after) != era_) {
      reply = WithStatus(StoreStatus::kRevisionTooOld);
    }
    Reply(watch.data_centre, std::move(reply), watch.callback);
  }

  void EndWatch(std::uint64_t id) {
    const auto found =
        std::find_if(watches_.begin(), watches_.end(),
                     [&](const PendingWatch& watch) { return watch.id == id; });
    if (found == watches_.end()) return;
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    reply.revision = MakeVersion(era_, revision_);
    ReplyToWatch(*found, reply);
    watches_.erase(found);
  }

  void CompleteReadyWatches() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      StoreReply reply;
      reply.status = StoreStatus::kOk;
      reply.revision = MakeVersion(era_, revision_);
      reply.complete = watch->after == 0;
      for (const auto& [path, object] : objects_) {
        if (path.starts_with(watch->prefix) &&
            object.version > RevisionOf(watch->after) &&
            !(object.removed && reply.complete)) {
          reply.objects.push_back(Stored(object));
        }
      }
      if (reply.objects.empty()) {
        ++watch;
        continue;
      }
      ReplyToWatch(*watch, std::move(reply));
      watch = watches_.erase(watch);
    }
  }

  Simulation& simulation_;
  /// Include removed objects; versions are revisions of the store.
  std::map<std::string, StoredObject> objects_;
  std::vector<Change> history_;
  std::uint64_t era_ = 0;
  /// Highest era that the VMs of a data centre have seen.
  std::map<std::string, std::uint64_t> seen_eras_;
  std::list<PendingWatch> watches_;
  std::set<std::string> cut_off_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_watch_ = 0;
  bool down_ = false;
  bool overloaded_ = false;
  Duration delay_ = std::chrono::milliseconds(3);
  int put_replies_to_drop_ = 0;
  std::uint64_t calls_ = 0;
};

/// Access to the fake store from a VM of one data centre.
class FakeStoreClient : public PlatformStore {
 public:
  FakeStoreClient(FakePlatformStore& store, std::string data_centre)
      : store_(store), data_centre_(std::move(data_centre)) {}

  void Get(std::string_view path, StoreCallback callback) override {
    store_.Get(data_centre_, path, callback);
  }
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override {
    store_.Put(data_centre_, path, value, expected, callback);
  }
  void Watch(std::string_view prefix, ObjectVersion after,
             StoreCallback callback) override {
    store_.Watch(data_centre_, prefix, after, callback);
  }

 private:
  FakePlatformStore& store_;
  std::string data_centre_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_CONFIG_FAKE_PLATFORM_STORE_H_
