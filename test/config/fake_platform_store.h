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
    for (const PendingWatch& watch : ended) Reply({}, watch.callback);
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
    return found == objects_.end() ? 0 : found->second.version;
  }

  /// Writes immediately, regardless of injected faults.
  ObjectVersion Write(const std::string& path, std::string_view value) {
    objects_[path] = {path, std::string(value), ++revision_};
    CompleteReadyWatches();
    return revision_;
  }

  void Get(const std::string& data_centre, std::string_view path,
           const StoreCallback& callback) {
    if (!Admit(data_centre, callback)) return;
    simulation_.After(delay_, [this, path = std::string(path), callback] {
      StoreReply reply;
      const auto found = objects_.find(path);
      reply.status =
          found == objects_.end() ? StoreStatus::kNotFound : StoreStatus::kOk;
      if (found != objects_.end()) reply.object = found->second;
      Reply(reply, callback);
    });
  }

  void Put(const std::string& data_centre, std::string_view path,
           std::string_view value, ObjectVersion expected,
           const StoreCallback& callback) {
    if (!Admit(data_centre, callback)) return;
    simulation_.After(delay_, [this, path = std::string(path),
                               value = std::string(value), expected, callback] {
      StoreReply reply;
      if (VersionOf(path) != expected) {
        reply.status = StoreStatus::kConflict;
        reply.object = {path, "", VersionOf(path)};
      } else {
        reply.status = StoreStatus::kOk;
        reply.object = {path, "", Write(path, value)};
        if (put_replies_to_drop_ > 0) {
          --put_replies_to_drop_;
          reply = {};
        }
      }
      Reply(reply, callback);
    });
  }

  void Watch(const std::string& data_centre, std::string_view prefix,
             ObjectVersion after, const StoreCallback& callback) {
    if (!Admit(data_centre, callback)) return;
    const std::uint64_t id = ++last_watch_;
    watches_.push_back({id, std::string(prefix), after, callback});
    CompleteReadyWatches();
    simulation_.After(kWatchTimeout, [this, id] { EndWatch(id); });
  }

 private:
  /// A watch without changes ends after this time.
  static constexpr Duration kWatchTimeout = std::chrono::seconds(30);

  struct PendingWatch {
    std::uint64_t id = 0;
    std::string prefix;
    ObjectVersion after = 0;
    StoreCallback callback;
  };

  bool Admit(const std::string& data_centre, const StoreCallback& callback) {
    ++calls_;
    if (overloaded_) {
      StoreReply reply;
      reply.status = StoreStatus::kOverloaded;
      Reply(reply, callback);
      return false;
    }
    if (!down_ && !cut_off_.contains(data_centre)) return true;
    simulation_.After(std::chrono::seconds(1),
                      [callback] { callback(StoreReply{}); });
    return false;
  }

  void Reply(StoreReply reply, const StoreCallback& callback) {
    simulation_.After(
        delay_, [reply = std::move(reply), callback] { callback(reply); });
  }

  void EndWatch(std::uint64_t id) {
    const auto found =
        std::find_if(watches_.begin(), watches_.end(),
                     [&](const PendingWatch& watch) { return watch.id == id; });
    if (found == watches_.end()) return;
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    reply.revision = revision_;
    Reply(reply, found->callback);
    watches_.erase(found);
  }

  void CompleteReadyWatches() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      StoreReply reply;
      reply.status = StoreStatus::kOk;
      reply.revision = revision_;
      for (const auto& [path, object] : objects_) {
        if (path.starts_with(watch->prefix) && object.version > watch->after) {
          reply.objects.push_back(object);
        }
      }
      if (reply.objects.empty()) {
        ++watch;
        continue;
      }
      Reply(std::move(reply), watch->callback);
      watch = watches_.erase(watch);
    }
  }

  Simulation& simulation_;
  std::map<std::string, StoredObject> objects_;
  std::list<PendingWatch> watches_;
  std::set<std::string> cut_off_;
  ObjectVersion revision_ = 0;
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
