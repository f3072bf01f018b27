#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "failover/failover_simulation.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FailoverWithFiveVms : public ::testing::Test {
 protected:
  FailoverWithFiveVms() { world_.RunFor(seconds(3)); }

  /// Time until a caller's write is acknowledged; at most `limit`.
  Duration TimeToNextAcknowledgement(Duration limit) {
    const std::size_t before = world_.acknowledged();
    Duration elapsed{0};
    while (world_.acknowledged() == before && elapsed < limit) {
      world_.RunFor(milliseconds(10));
      elapsed += milliseconds(10);
    }
    return elapsed;
  }

  void ExpectPromisesKept() {
    EXPECT_EQ(world_.violations(), std::vector<std::string>());
  }

  FailoverSimulation world_{5, 1};
};

TEST_F(FailoverWithFiveVms, NothingFailsOneVmHoldsTheDutyAndWorkIsDone) {
  world_.RunFor(seconds(5));
  EXPECT_EQ(world_.Leaders().size(), 1U);
  EXPECT_EQ(world_.promotions(), 0U);
  EXPECT_GT(world_.acknowledged(), 50U);
  EXPECT_GT(world_.replica_reads(), 50U);
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, PrimaryCrashesAnotherLeadsWithinFourSeconds) {
  world_.CrashEndpoint(0, seconds(20));
  world_.RunFor(seconds(4));
  EXPECT_NE(world_.Primary(), 0U);
  const std::size_t before = world_.acknowledged();
  world_.RunFor(seconds(2));
  EXPECT_GT(world_.acknowledged(), before);
  ExpectPromisesKept();
}

// A question (0.25 s) and the suspicion (0.6 s), the last right (1.05 s), the
// order (0.3 s here), a VM's next question for rights (0.25 s), and four rounds
// of 50 ms for two records, the token and the comparison.
TEST_F(FailoverWithFiveVms, PrimaryCrashesNoTimeIsLostOnItsAnswers) {
  world_.CrashEndpoint(0, seconds(20));
  EXPECT_LT(TimeToNextAcknowledgement(seconds(10)), milliseconds(2650));
  ExpectPromisesKept();
}

// The process that starts anew after 2 s shows that the holder's tenure is
// over; what remains is the last right (1.05 s), the order (0.3 s), the next
// question for rights (0.25 s) and rounds as above. The search for the primary
// falls into the time until then.
TEST_F(FailoverWithFiveVms, HolderAndPrimaryCrashTheSuccessorReplacesAtOnce) {
  const std::size_t holder = world_.Leaders().at(0);
  world_.CrashEndpoint(0, seconds(20));
  world_.CrashVm(holder, seconds(2));
  EXPECT_LT(TimeToNextAcknowledgement(seconds(15)), milliseconds(3850));
  ExpectPromisesKept();
}

// The store refuses the holder alone. It has handed the duty over by the time
// at which the primary crashes, so nobody waits for the end of its authority.
TEST_F(FailoverWithFiveVms, StoreIsCutFromTheHolderItHandsTheDutyOver) {
  const std::size_t holder = world_.Leaders().at(0);
  world_.CutVmFromStore(holder, seconds(30));
  world_.RunFor(seconds(8));
  ASSERT_EQ(world_.Leaders().size(), 1U);
  EXPECT_NE(world_.Leaders().at(0), holder);
  world_.CrashEndpoint(0, seconds(20));
  EXPECT_LT(TimeToNextAcknowledgement(seconds(15)), milliseconds(2650));
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, PrimaryLeavesAnotherLeadsBeforeItsTimeIsOver) {
  world_.MarkLeaving(0);
  world_.RunFor(seconds(4));
  EXPECT_NE(world_.Primary(), 0U);
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, StoreIsDownForFiveSecondsWritesGoOn) {
  world_.StopStore(seconds(5));
  world_.RunFor(seconds(2));
  const std::size_t before = world_.acknowledged();
  world_.RunFor(seconds(3));
  EXPECT_GT(world_.acknowledged(), before + 20);
  EXPECT_EQ(world_.promotions(), 0U);
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, StoreIsDownForAllTheHolderKeepsTheDuty) {
  const std::vector<std::size_t> before = world_.Leaders();
  world_.StopStore(seconds(6));
  world_.RunFor(seconds(8));
  EXPECT_EQ(world_.Leaders(), before);
}

TEST_F(FailoverWithFiveVms, HolderCrashesWritesGoOnWithinTwoSeconds) {
  world_.CrashVm(world_.Leaders().at(0), seconds(20));
  world_.RunFor(seconds(2));
  const std::size_t before = world_.acknowledged();
  world_.RunFor(seconds(1));
  EXPECT_GT(world_.acknowledged(), before);
  EXPECT_EQ(world_.Leaders().size(), 1U);
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, VmIsCutFromPeersItTakesItsRightFromTheStore) {
  const std::size_t cut = (world_.Leaders().at(0) + 1) % 5;
  for (std::size_t vm = 0; vm < 5; ++vm) {
    if (vm != cut) world_.CrashVm(vm, seconds(30));
  }
  world_.CutVmFromPeers(cut, seconds(30));
  world_.RunFor(seconds(2));
  const std::size_t before = world_.acknowledged();
  world_.RunFor(seconds(2));
  EXPECT_GT(world_.acknowledged(), before);
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, PausedHolderWakesItUsesNoRightThatHasExpired) {
  const std::size_t holder = world_.Leaders().at(0);
  world_.PauseVm(holder, seconds(5));
  world_.RunFor(milliseconds(500));
  world_.CrashEndpoint(0, seconds(2));
  world_.RunFor(seconds(20));
  ExpectPromisesKept();
}

TEST_F(FailoverWithFiveVms, AllVmsRestartTheRecordedPrimaryIsUsed) {
  world_.CrashEndpoint(0, seconds(6));
  world_.RunFor(seconds(5));
  ASSERT_EQ(world_.promotions(), 1U);
  for (std::size_t vm = 0; vm < 5; ++vm) world_.CrashVm(vm, seconds(1));
  world_.RunFor(seconds(4));
  const std::size_t before = world_.acknowledged();
  world_.RunFor(seconds(1));
  EXPECT_GT(world_.acknowledged(), before);
  EXPECT_EQ(world_.promotions(), 1U);
  ExpectPromisesKept();
}

struct RegressionSeed {
  std::uint64_t seed;
  const char* cause;
};

class FailoverWithRegressionSeed
    : public ::testing::TestWithParam<RegressionSeed> {};

void RunSeed(std::uint64_t seed) {
  FailoverSimulation world(5, seed);
  world.RunFor(seconds(2));
  for (int fault = 0; fault < 12; ++fault) {
    world.InjectFault();
    world.RunFor(milliseconds(700));
  }
  world.Heal();
  world.RunFor(seconds(18));
  const std::size_t before = world.acknowledged();
  world.RunFor(seconds(2));
  EXPECT_GT(world.acknowledged(), before) << "no recovery, seed " << seed;
  EXPECT_EQ(world.violations(), std::vector<std::string>()) << "seed " << seed;
}

TEST_P(FailoverWithRegressionSeed, KeepsThePromises) {
  RunSeed(GetParam().seed);
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, FailoverWithRegressionSeed,
    ::testing::Values(
        RegressionSeed{2, "the record still gave a right while another led"},
        RegressionSeed{10, "stepped down, then its holder lost the duty"},
        RegressionSeed{84, "a new holder took an old primary for the leader"},
        RegressionSeed{5780, "the same with the store down"},
        RegressionSeed{6948,
                       "a successor's successor did not wait for the first"},
        RegressionSeed{9029, "a new holder did not know the last order"}));

// Pauses, cuts, crashes, a store that fails and answers that are lost, in an
// order that the seed draws. CARAWAYHAVEN_FAILOVER_SEEDS and
// CARAWAYHAVEN_FAILOVER_FIRST_SEED choose others.
TEST(FailoverWithRandomFaults, AnyOrderOfFaultsKeepsThePromises) {
  const auto number = [](const char* name, int fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::atoi(text);
  };
  const int first = number("CARAWAYHAVEN_FAILOVER_FIRST_SEED", 1);
  const int count = number("CARAWAYHAVEN_FAILOVER_SEEDS", 100);
  for (int seed = first; seed < first + count; ++seed) {
    RunSeed(static_cast<std::uint64_t>(seed));
    if (HasFailure()) break;
  }
}

}  // namespace
}  // namespace carawayhaven
