#include "proxy/group_monitor_set.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/group/group_directory.h"
#include "core/group/group_monitor.h"
#include "core/group/group_record.h"
#include "core/platform_store.h"
#include "queue/fake_endpoint.h"
#include "route/fake_route.h"

namespace carawayhaven {
namespace {

class SilentStore : public PlatformStore {
 public:
  void Get(std::string_view, StoreCallback) override {}
  void Put(std::string_view, std::string_view, ObjectVersion,
           StoreCallback) override {}
  void Watch(std::string_view, ObjectVersion, StoreCallback) override {}
};

class SilentPeers : public PeerLink {
 public:
  bool Send(const VmName&, const PeerMessage&) override { return true; }
  void SetAddress(const VmName&, std::string_view) override {}
};

class GroupMonitorSetWithPlannedChange : public testing::Test,
                                         public GroupMonitorHandler {
 protected:
  void OnGroupChanged(const GroupUpdateMessage&, TimePoint) override {}
  void HoldWrites(const ServiceName& service, TimePoint) override {
    held_.insert(service);
  }
  void ReleaseWrites(const ServiceName& service, TimePoint) override {
    held_.erase(service);
  }
  bool WritesInFlight(const ServiceName&) override { return true; }

  void SetUp() override {
    monitors_.OnOwnershipChanged(At(0));
    monitors_.Tick(At(0));
    monitors_.StartPlannedChanges([](const EndpointName&) { return true; },
                                  At(1));
    ASSERT_TRUE(held_.contains("s"));
  }

  std::set<ServiceName> held_;
  FakeServices services_;
  GroupDirectory groups_;
  FakeOwners owners_{"a-1"};
  FakeEndpoint link_;
  SilentPeers peers_;
  SilentStore store_;
  std::mt19937_64 random_{1};
  GroupMonitorSet monitors_{services_, groups_, owners_, link_,
                            peers_,    store_,  random_, *this};
};

// Guards against writes that are held, and then fail at their deadlines, since
// the monitor that held them is gone.
TEST_F(GroupMonitorSetWithPlannedChange, LossOfOwnershipReleasesTheWrites) {
  owners_.none = true;
  monitors_.OnOwnershipChanged(At(2));
  EXPECT_TRUE(held_.empty());
}

TEST_F(GroupMonitorSetWithPlannedChange, RemovalOfTheServiceReleasesTheWrites) {
  services_.service().name = "other";
  monitors_.OnOwnershipChanged(At(2));
  EXPECT_FALSE(held_.contains("s"));
}

// A store with one group record. Replies when told to.
class OneRecordStore : public SilentStore {
 public:
  void Get(std::string_view, StoreCallback callback) override {
    StoreReply reply;
    reply.status = record.empty() ? StoreStatus::kNotFound : StoreStatus::kOk;
    if (!record.empty()) reply.object = {"groups/s", record, 7};
    replies.emplace_back([callback, reply] { callback(reply); });
  }
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override {
    StoreReply reply;
    reply.status = expected == (record.empty() ? 0 : 7)
                       ? StoreStatus::kOk
                       : StoreStatus::kConflict;
    EXPECT_EQ(path, "groups/s");
    if (reply.status == StoreStatus::kOk) record = value;
    replies.emplace_back([callback, reply] { callback(reply); });
  }
  void SendReplies() {
    for (const auto& send : std::exchange(replies, {})) send();
  }

  std::string record;
  std::vector<std::function<void()>> replies;
};

class GroupMonitorSetWithRestoredStore : public testing::Test,
                                         public GroupMonitorHandler {
 protected:
  void OnGroupChanged(const GroupUpdateMessage& update, TimePoint) override {
    changes_.push_back(update.term);
  }
  void HoldWrites(const ServiceName&, TimePoint) override {}
  void ReleaseWrites(const ServiceName&, TimePoint) override {}
  bool WritesInFlight(const ServiceName&) override { return false; }

  static std::string Record(Term term, const EndpointName& primary) {
    return FormatGroupRecord({"s", term, primary, {{1, 0}, {term, 9}}});
  }
  Term StoredTerm() const {
    return store_.record.empty() ? 0
                                 : ParseGroupRecord("s", store_.record).term;
  }
  void SetUp() override {
    monitors_.OnAnnouncement({"s", 3, "b", {{1, 0}, {3, 9}}}, At(0));
    ASSERT_EQ(groups_.TermOf("s"), 3U);
  }
  // Restores the store with the record and runs for 5 s. The other VMs, which
  // own the endpoints, do nothing.
  void RestoreWith(const std::string& record) {
    store_.record = record;
    if (!record.empty()) {
      monitors_.OnAnnouncement(ParseGroupRecord("s", record), At(1000));
    }
    monitors_.OnStoreRestored(At(1000));
    for (int ms = 1000; ms < 6000; ms += 50) {
      monitors_.Tick(At(ms));
      store_.SendReplies();
    }
  }

  FakeServices services_;
  GroupDirectory groups_;
  FakeOwners owners_{"d-1"};
  FakeEndpoint link_;
  SilentPeers peers_;
  OneRecordStore store_;
  std::mt19937_64 random_{1};
  GroupMonitorSet monitors_{services_, groups_, owners_, link_,
                            peers_,    store_,  random_, *this};
  std::vector<Term> changes_;
};

// Guards against a store that keeps an older term, which a starting proxy would
// use.
TEST_F(GroupMonitorSetWithRestoredStore, LowerTermIsReplaced) {
  RestoreWith(Record(2, "a"));
  EXPECT_EQ(StoredTerm(), 3U);
  EXPECT_EQ(groups_.TermOf("s"), 3U);
}

TEST_F(GroupMonitorSetWithRestoredStore, MissingRecordIsWrittenAgain) {
  RestoreWith("");
  EXPECT_EQ(StoredTerm(), 3U);
}

TEST_F(GroupMonitorSetWithRestoredStore, HigherTermStaysAndIsApplied) {
  store_.record = Record(4, "c");
  monitors_.OnStoreRestored(At(1000));
  for (int ms = 1000; ms < 6000; ms += 50) {
    monitors_.Tick(At(ms));
    store_.SendReplies();
  }
  EXPECT_EQ(StoredTerm(), 4U);
  EXPECT_EQ(groups_.TermOf("s"), 4U);
  EXPECT_EQ(monitors_.NextTick(), TimePoint::max());
}

}  // namespace
}  // namespace carawayhaven
