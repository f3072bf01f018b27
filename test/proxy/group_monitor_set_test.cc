#include "proxy/group_monitor_set.h"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>

#include "core/group/group_directory.h"
#include "core/group/group_monitor.h"
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

}  // namespace
}  // namespace carawayhaven
