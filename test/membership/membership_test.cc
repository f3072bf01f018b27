#include "core/membership/membership.h"

#include <gtest/gtest.h>

#include "core/config/team_config.h"
#include "core/membership/rendezvous.h"
#include "membership/simulated_cluster.h"

namespace carawayhaven {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<DataCentreName> kDataCentres{"mendoza", "cordoba", "parana"};

class MembershipOfNine : public testing::Test {
 protected:
  void SetUp() override { cluster.RunFor(seconds(3)); }

  VmState StateSeenBy(std::size_t observer, std::size_t vm) const {
    return cluster.nodes[observer]
        ->membership.table()
        .Find("vm-" + std::to_string(vm))
        ->record.state;
  }
  std::vector<VmName> OwnersSeenBy(std::size_t observer,
                                   const DataCentreName& data_centre) const {
    EndpointConfig endpoint;
    endpoint.name = "registro-1-x";
    endpoint.data_centre = data_centre;
    return cluster.nodes[observer]->membership.OwnersOf(endpoint, 3);
  }

  SimulatedCluster cluster{9, kDataCentres, 7};
};

// Guards against disagreement about owners without any fault.
TEST_F(MembershipOfNine, NoFaultAllAgreeOnOwners) {
  EXPECT_TRUE(cluster.MembershipConverged());
  const std::vector<VmName> owners = OwnersSeenBy(0, "cordoba");
  ASSERT_EQ(owners.size(), 3U);
  for (std::size_t i = 1; i < 9; ++i) {
    EXPECT_EQ(OwnersSeenBy(i, "cordoba"), owners);
  }
  EXPECT_EQ(cluster.Sum([](const auto& node) {
    return node.membership.counters().suspicions;
  }),
            0U);
}

// Guards against a crash that is not detected.
TEST_F(MembershipOfNine, CrashIsKnownToAllWithinFourSeconds) {
  cluster.Crash(4);
  const Duration elapsed = cluster.RunUntil(
      [&] { return cluster.MembershipConverged(); }, seconds(10));
  EXPECT_LE(elapsed, seconds(4));
  for (const VmName& owner : OwnersSeenBy(0, "cordoba")) {
    EXPECT_NE(owner, "vm-4");
  }
}

// Guards against a suspected VM that continues to own pools.
TEST_F(MembershipOfNine, BrokenLinkSuspectsAtOnceAndAnAnswerRefutes) {
  SimulatedCluster::Node& observer = *cluster.nodes[0];
  const std::vector<VmName> owners = OwnersSeenBy(0, "cordoba");
  observer.membership.OnPeerLost(owners.front(), cluster.simulation.now());
  cluster.Schedule(observer);
  EXPECT_EQ(OwnersSeenBy(0, "cordoba").front(), owners[1]);
  cluster.RunFor(seconds(1));
  EXPECT_EQ(OwnersSeenBy(0, "cordoba"), owners);
  EXPECT_TRUE(cluster.MembershipConverged());
}

// Guards against a paused VM that stays dead after the pause, and against one
// that declares its peers dead because of its own pause.
TEST_F(MembershipOfNine, PausedVmComesBackAndRefutes) {
  cluster.Pause(2, seconds(20));
  cluster.RunFor(seconds(10));
  EXPECT_EQ(StateSeenBy(0, 2), VmState::kDead);
  cluster.RunFor(seconds(10));
  const Duration elapsed = cluster.RunUntil(
      [&] { return cluster.MembershipConverged(); }, seconds(10));
  EXPECT_LE(elapsed, seconds(3));
  EXPECT_EQ(cluster.nodes[2]->membership.counters().deaths, 0U);
  EXPECT_GE(cluster.nodes[2]->membership.counters().refutations, 1U);
}

TEST_F(MembershipOfNine, LeavingVmOwnsNothingAndIsNotSuspected) {
  SimulatedCluster::Node& leaving = *cluster.nodes[1];
  leaving.membership.Leave(cluster.simulation.now());
  cluster.RunFor(milliseconds(50));
  for (std::size_t i = 0; i < 9; ++i) {
    for (const VmName& owner : OwnersSeenBy(i, "cordoba")) {
      EXPECT_NE(owner, "vm-1");
    }
  }
  cluster.RunFor(seconds(10));
  EXPECT_EQ(StateSeenBy(0, 1), VmState::kLeaving);
}

// Guards against old records of a VM that take precedence over its new process.
TEST_F(MembershipOfNine, RestartedVmIsAliveAgain) {
  cluster.Crash(5);
  cluster.RunFor(seconds(6));
  cluster.Start(5);
  EXPECT_LE(cluster.RunUntil([&] { return cluster.MembershipConverged(); },
                             seconds(10)),
            seconds(3));
}

TEST_F(MembershipOfNine, DataCentreWithoutVmsIsOwnedByTheOthers) {
  for (const std::size_t i : {1U, 4U, 7U}) cluster.Crash(i);
  cluster.RunFor(seconds(10));
  const std::vector<VmName> owners = OwnersSeenBy(0, "cordoba");
  ASSERT_EQ(owners.size(), 3U);
  EXPECT_EQ(OwnersSeenBy(8, "cordoba"), owners);
}

// Guards against two sides of a healed partition that never detect each other.
TEST_F(MembershipOfNine, PartitionOfAnHourHealsWithinTenSeconds) {
  cluster.Partition("mendoza", "cordoba", true);
  cluster.Partition("mendoza", "parana", true);
  cluster.RunFor(hours(1));
  EXPECT_EQ(StateSeenBy(0, 1), VmState::kDead);
  EXPECT_EQ(OwnersSeenBy(0, "cordoba").size(), 3U);
  cluster.Partition("mendoza", "cordoba", false);
  cluster.Partition("mendoza", "parana", false);
  EXPECT_LE(cluster.RunUntil([&] { return cluster.MembershipConverged(); },
                             seconds(60)),
            seconds(10));
}

// Guards against a lagging platform list that marks a dead VM as alive.
TEST_F(MembershipOfNine, LaggingListDoesNotMarkADeadVmAlive) {
  cluster.Crash(4);
  cluster.RunFor(seconds(6));
  cluster.nodes[0]->membership.OnVmList(cluster.listed,
                                        cluster.simulation.now());
  EXPECT_EQ(StateSeenBy(0, 4), VmState::kDead);
}

// The bound follows from the design: a VM sends 4 heartbeats per period, each
// of which fails with a probability of 1 - 0.95^2 = 9.8%. A suspicion leads to
// a death only when six repeats fail as well (10^-6) and no gossip reaches the
// VM. Each of the seeds 11 to 14 runs 30 VMs for 60 s.
class MembershipWithLoss : public testing::TestWithParam<std::uint64_t> {};

TEST_P(MembershipWithLoss, FivePercentLossCausesNoFalseDeath) {
  SimulatedCluster cluster(30, kDataCentres, GetParam());
  cluster.RunFor(seconds(3));
  cluster.loss = 0.05;
  cluster.RunFor(seconds(60));
  EXPECT_GT(cluster.Sum([](const auto& node) {
    return node.membership.counters().suspicions;
  }),
            100U);
  EXPECT_EQ(cluster.Sum([](const auto& node) {
    return node.membership.counters().deaths;
  }),
            0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipWithLoss,
                         testing::Values(11, 12, 13, 14));

// Guards against too many heartbeats: the design allows 4 heartbeats per VM and
// period.
TEST(MembershipTraffic, HeartbeatsStayWithinTheFanOutBound) {
  SimulatedCluster cluster(60, kDataCentres, 3);
  cluster.RunFor(seconds(2));
  std::size_t max_changes = 0;
  std::uint64_t heartbeats = 0;
  cluster.on_send = [&](const auto&, const PeerMessage& message) {
    if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message)) {
      heartbeats += heartbeat->reply ? 0 : 1;
      max_changes = std::max(max_changes, heartbeat->changes.size());
    }
  };
  cluster.RunFor(seconds(10));
  EXPECT_EQ(heartbeats, 60U * 4 * 20);
  EXPECT_LE(max_changes, kMaxChangesPerHeartbeat);
}

// Guards against a starting VM that takes minutes to detect which VMs are dead.
TEST(MembershipTraffic, StartingVmReceivesTheTableFromItsFirstPeers) {
  SimulatedCluster cluster(60, kDataCentres, 5);
  for (std::size_t i = 30; i < 50; ++i) cluster.Crash(i);
  cluster.RunFor(seconds(60));
  cluster.Start(59);
  cluster.RunFor(seconds(2));
  const MemberTable& table = cluster.nodes[59]->membership.table();
  EXPECT_EQ(table.Find("vm-30")->record.state, VmState::kDead);
  EXPECT_EQ(table.OwnerCandidates().size(), 40U);
}

}  // namespace
}  // namespace carawayhaven
