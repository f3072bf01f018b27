#include "core/config/object_watcher.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

#include "config/fake_platform_store.h"
#include "membership/simulation.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
// Time from the last change or the end of the last fault within which a watcher
// must have reported it.
constexpr Duration kReportLimit = milliseconds(2500);

/// A watcher, and what its events say about the objects.
class WatcherOfARestoredStore : public testing::TestWithParam<int>,
                                public ObjectWatcherEvents {
 protected:
  void OnObject(const StoredObject& object, TimePoint /*now*/) override {
    EXPECT_GT(object.version, versions_[object.path]) << object.path;
    versions_[object.path] = object.version;
    reported_[object.path] = object.value;
  }
  void OnObjectRemoved(std::string_view path, TimePoint /*now*/) override {
    EXPECT_EQ(reported_.erase(std::string(path)), 1U) << path;
  }
  void OnObjectsSynced(TimePoint /*sent*/, TimePoint /*now*/) override {}
  void OnStoreRestored(TimePoint /*now*/) override { ++restores_; }
  void OnStoreReachabilityChanged(bool /*reachable*/,
                                  TimePoint /*now*/) override {}

  void RunFor(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += kStep) {
      simulation_.RunFor(kStep);
      if (watcher_.NextTick() <= simulation_.now()) {
        watcher_.Tick(simulation_.now());
      }
    }
  }

  // Another call of the same client, as the renewals of a leader.
  void CallNow() {
    client_.Get("other/a", [](const StoreReply&) {});
  }

  std::mt19937_64 random_{static_cast<unsigned>(GetParam())};
  Simulation simulation_;
  FakePlatformStore store_{simulation_};
  FakeStoreClient client_{store_, "mendoza"};
  std::map<std::string, std::string> reported_;
  std::map<std::string, ObjectVersion> versions_;
  int restores_ = 0;
  ObjectWatcher watcher_{client_, "k/", [this] { return simulation_.now(); },
                         random_, *this};
};

/// Counts the calls of a client.
class CountingStore : public PlatformStore {
 public:
  explicit CountingStore(PlatformStore& store) : store_(store) {}

  void Get(std::string_view path, StoreCallback callback) override {
    store_.Get(path, std::move(callback));
  }
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override {
    store_.Put(path, value, expected, std::move(callback));
  }
  void Watch(std::string_view prefix, ObjectVersion after,
             StoreCallback callback) override {
    ++watches;
    store_.Watch(prefix, after, std::move(callback));
  }

  int watches = 0;

 private:
  PlatformStore& store_;
};

class WatcherOfManyChanges : public WatcherOfARestoredStore {
 protected:
  WatcherOfManyChanges() { slow_.SetMinInterval(milliseconds(200)); }

  void RunFor(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += kStep) {
      simulation_.RunFor(kStep);
      if (slow_.NextTick() <= simulation_.now()) {
        slow_.Tick(simulation_.now());
      }
    }
  }

  CountingStore counting_{client_};
  ObjectWatcher slow_{counting_, "k/", [this] { return simulation_.now(); },
                      random_, *this};
};

// Guards against one call for each of the changes with which the endpoints of a
// large deployment start: 60 entries in 3 s, in each of which every watcher was
// woken before.
TEST_P(WatcherOfManyChanges, ChangesInQuickSuccessionArriveTogether) {
  RunFor(seconds(1));
  const int before = counting_.watches;
  for (int i = 0; i < 60; ++i) {
    store_.Write("k/" + std::to_string(i), "1");
    RunFor(milliseconds(50));
  }
  EXPECT_LE(counting_.watches - before, 3000 / 200 + 2);
  RunFor(milliseconds(300));
  EXPECT_EQ(reported_, store_.Contents());
}

// Guards against a delay of a single change.
TEST_P(WatcherOfManyChanges, ChangeAfterAPauseIsReportedAtOnce) {
  RunFor(seconds(1));
  store_.Write("k/a", "1");
  RunFor(milliseconds(100));
  EXPECT_EQ(reported_, store_.Contents());
}

INSTANTIATE_TEST_SUITE_P(Once, WatcherOfManyChanges, testing::Values(1));

class WatcherOfARestoredStoreOnce : public WatcherOfARestoredStore {};

// Guards against a watch that goes on after the revision of the lost state: the
// first changes after the restore, which have lower revisions, would be missed.
TEST_P(WatcherOfARestoredStoreOnce, ReportsAllThatDiffersFromTheLostState) {
  store_.Write("k/kept", "1");
  store_.Write("k/changed", "1");
  store_.Write("k/removed", "1");
  RunFor(seconds(1));
  const TimePoint copied_at = simulation_.now();
  RunFor(seconds(1));
  store_.Write("k/changed", "2");
  store_.Write("k/created", "1");
  store_.Remove("k/removed");
  RunFor(seconds(1));
  ASSERT_EQ(reported_, store_.Contents());
  const std::map<std::string, ObjectVersion> before = versions_;
  store_.Restore(copied_at);
  CallNow();
  RunFor(milliseconds(500));
  EXPECT_EQ(reported_, store_.Contents());
  EXPECT_EQ(reported_.count("k/created"), 0U);
  EXPECT_EQ(reported_["k/changed"], "1");
  EXPECT_EQ(restores_, 1);
  for (const auto& [path, value] : reported_) {
    EXPECT_EQ(EraOf(versions_[path]), 1U) << path;
    EXPECT_GT(versions_[path], before.at(path));
  }
  store_.Write("k/changed", "2");
  RunFor(milliseconds(100));
  EXPECT_EQ(reported_["k/changed"], "2");
}

INSTANTIATE_TEST_SUITE_P(OneSeed, WatcherOfARestoredStoreOnce,
                         testing::Values(1));

// Guards against an update that is lost at some moment of a restore: between
// the pages and calls of a list, while a watch waits, or while a reply is under
// way.
TEST_P(WatcherOfARestoredStore, ReportsTheStateAfterRestoresAtAnyMoment) {
  const auto draw = [this](int count) {
    return static_cast<int>(random_() % static_cast<unsigned>(count));
  };
  store_.Write("k/permanent", "0");
  RunFor(seconds(1));
  const TimePoint start = simulation_.now();
  int era = 0;
  for (int change = 1; change <= 300; ++change) {
    const std::string path = "k/" + std::to_string(draw(6));
    const int kind = draw(100);
    if (kind < 55) {
      store_.Write(path, std::to_string(change));
    } else if (kind < 75) {
      store_.Remove(path);
    } else if (kind < 80) {
      store_.SetDelay(milliseconds(1 + draw(60)));
    } else if (kind < 85) {
      store_.SetOverloaded(true);
      RunFor(milliseconds(draw(300)));
      store_.SetOverloaded(false);
    } else {
      // The restore comes with or without an outage, sometimes twice in a row.
      const bool is_down = draw(2) == 0;
      if (is_down) store_.SetDown(true);
      for (int count = 1 + draw(2); count > 0; --count) {
        RunFor(milliseconds(draw(400)));
        store_.Restore(
            std::max(start, simulation_.now() - milliseconds(draw(15'000))));
        ++era;
      }
      store_.SetDown(false);
    }
    CallNow();
    RunFor(milliseconds(draw(3) == 0 ? 0 : draw(200)));
    if (draw(15) != 0) continue;
    CallNow();
    RunFor(kReportLimit);
    ASSERT_EQ(reported_, store_.Contents()) << "after change " << change;
  }
  EXPECT_GT(restores_, 0);
  EXPECT_LE(restores_, era);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WatcherOfARestoredStore, testing::Range(1, 41));

}  // namespace
}  // namespace carawayhaven
