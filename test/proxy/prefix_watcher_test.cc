#include "proxy/prefix_watcher.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ScriptedStore : public PlatformStore {
 public:
  void Get(std::string_view, StoreCallback) override {}
  void Put(std::string_view, std::string_view, ObjectVersion,
           StoreCallback) override {}
  void Watch(std::string_view, ObjectVersion after,
             StoreCallback callback) override {
    ++watches;
    last_after = after;
    pending = std::move(callback);
  }

  void Answer(StoreStatus status, ObjectVersion revision) {
    StoreReply reply;
    reply.status = status;
    reply.revision = revision;
    std::exchange(pending, nullptr)(reply);
  }

  int watches = 0;
  ObjectVersion last_after = 0;
  StoreCallback pending;
};

class PrefixWatcherTest : public testing::Test {
 protected:
  // Advances the time; each watch ends at once with `status`.
  void RunFor(Duration duration, StoreStatus status) {
    const TimePoint end = now_ + duration;
    while (watcher_.NextTick() <= end) {
      now_ = std::max(now_, watcher_.NextTick());
      watcher_.Tick(now_);
      if (store_.pending) store_.Answer(status, ++revision_);
    }
    now_ = end;
  }

  TimePoint now_{seconds(1)};
  ObjectVersion revision_ = 0;
  ScriptedStore store_;
  std::mt19937_64 random_{1};
  bool is_watcher_ = true;
  int restores_ = 0;
  PrefixWatcher watcher_{store_,
                         "groups/",
                         random_,
                         [this] { return is_watcher_; },
                         [](const std::vector<StoredObject>&) {},
                         [this] { ++restores_; }};
};

// Guards against 830 proxies that together exceed the call rate of the store
// while it is down. With 2 prefixes each and at most 12 calls per prefix in 30
// s, all proxies together make at most 664 calls per second.
TEST_F(PrefixWatcherTest, StoreIsDownCallsBecomeRare) {
  RunFor(seconds(30), StoreStatus::kUnknown);
  EXPECT_GE(store_.watches, 3);
  EXPECT_LE(store_.watches, 12);
}

// Guards against proxies that all retry at the same moment.
TEST_F(PrefixWatcherTest, StoreIsDownPausesDiffer) {
  RunFor(Duration::zero(), StoreStatus::kUnknown);
  std::mt19937_64 other_random{2};
  PrefixWatcher other(
      store_, "groups/", other_random, [] { return true; },
      [](const std::vector<StoredObject>&) {});
  const TimePoint first = watcher_.NextTick();
  other.Tick(now_);
  store_.Answer(StoreStatus::kUnknown, 0);
  other.Tick(now_);
  EXPECT_NE(other.NextTick(), first);
}

// Guards against a watch that is renewed for each one of many changes.
TEST_F(PrefixWatcherTest, ManyChangesRenewAtMostFourTimesASecond) {
  RunFor(seconds(10), StoreStatus::kOk);
  EXPECT_GE(store_.watches, 10);
  EXPECT_LE(store_.watches, 41);
  EXPECT_EQ(store_.last_after, revision_ - 1);
}

// Guards against store calls of proxies that are not watchers.
TEST_F(PrefixWatcherTest, VmIsNoWatcherReadsTheListOnce) {
  is_watcher_ = false;
  RunFor(seconds(10), StoreStatus::kOk);
  EXPECT_EQ(store_.watches, 1);
}

// Guards against a watch that follows the revisions of a lost state.
TEST_F(PrefixWatcherTest, StoreIsRestoredObjectsAreListedAgain) {
  watcher_.Tick(now_);
  store_.Answer(StoreStatus::kOk, MakeVersion(1, 9));
  now_ += seconds(1);
  watcher_.Tick(now_);
  ASSERT_EQ(store_.last_after, MakeVersion(1, 9));
  store_.Answer(StoreStatus::kRevisionTooOld, 0);
  RunFor(milliseconds(250), StoreStatus::kOk);
  EXPECT_EQ(store_.last_after, 0U);
}

TEST_F(PrefixWatcherTest, StoreIsRestoredIsReportedOnce) {
  for (const std::uint64_t revision : {9, 10}) {
    watcher_.Tick(now_);
    store_.Answer(StoreStatus::kOk, MakeVersion(1, revision));
    now_ += seconds(1);
  }
  EXPECT_EQ(restores_, 0);
  watcher_.Tick(now_);
  store_.Answer(StoreStatus::kRevisionTooOld, 0);
  EXPECT_EQ(restores_, 0);
  for (const std::uint64_t revision : {5, 6}) {
    now_ += seconds(1);
    watcher_.Tick(now_);
    store_.Answer(StoreStatus::kOk, MakeVersion(2, revision));
    EXPECT_EQ(restores_, 1);
  }
}

}  // namespace
}  // namespace carawayhaven
