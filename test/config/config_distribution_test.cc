#include <gtest/gtest.h>

#include <optional>

#include "config/team_texts.h"
#include "core/config/config_distributor.h"
#include "membership/simulated_cluster.h"

namespace carawayhaven {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum time until an accepted version is in force on all VMs (invariant 9).
constexpr Duration kInForceLimit = seconds(3);

class ConfigDistribution : public testing::Test {
 protected:
  void SetUp() override {
    cluster.RunFor(seconds(3));
    ASSERT_EQ(SubmitAt(0, 0, "first").status, SubmitStatus::kAccepted);
    first = cluster.store.VersionOf("teams/t");
    ASSERT_TRUE(IsInForceWithinLimit(first));
  }

  void StartSubmit(std::size_t vm, ObjectVersion base,
                   const std::string& comment,
                   std::optional<SubmitResult>& result) {
    SimulatedCluster::Node& node = *cluster.nodes[vm];
    node.submitter.Submit(
        "t", TeamText("t", {"s-1"}, comment), base,
        [&result](const SubmitResult& given) {
          ASSERT_FALSE(result.has_value());
          result = given;
        },
        cluster.simulation.now());
    cluster.Schedule(node);
  }
  SubmitResult SubmitAt(std::size_t vm, ObjectVersion base,
                        const std::string& comment) {
    std::optional<SubmitResult> result;
    StartSubmit(vm, base, comment, result);
    cluster.RunUntil([&] { return result.has_value(); }, seconds(15));
    return result.value_or(SubmitResult{});
  }
  bool IsInForceWithinLimit(ObjectVersion version) {
    const Duration elapsed = cluster.RunUntil(
        [&] { return cluster.IsInForceEverywhere("t", version); },
        kInForceLimit);
    RecordProperty("in_force_ms", static_cast<int>(elapsed.count() / 1000));
    return cluster.IsInForceEverywhere("t", version);
  }
  /// Runs for the duration and checks at each step that no VM reverts to an
  /// older version.
  void ExpectNeverReverts(ObjectVersion version, Duration duration) {
    for (Duration passed{0}; passed < duration; passed += milliseconds(100)) {
      cluster.RunFor(milliseconds(100));
      ASSERT_TRUE(cluster.HoldsOnAllRunning(
          [&](const auto& node) { return node.VersionOf("t") >= version; }));
    }
  }

  SimulatedCluster cluster{12, {"mendoza", "cordoba", "parana"}, 21};
  ObjectVersion first = 0;
};

TEST_F(ConfigDistribution, AcceptedVersionIsInForceAndStays) {
  const SubmitResult result = SubmitAt(5, first, "second");
  ASSERT_EQ(result.status, SubmitStatus::kAccepted);
  EXPECT_TRUE(IsInForceWithinLimit(result.version));
  ExpectNeverReverts(result.version, seconds(5));
}

// Guards distribution by the watches alone.
TEST_F(ConfigDistribution, DirectWriteToTheStoreIsInForceInTime) {
  const ObjectVersion version = cluster.store.Write(
      "teams/t", TeamValue(TeamText("t", {"s-1"}, "direct")));
  EXPECT_TRUE(IsInForceWithinLimit(version));
}

// Guards against a data centre without watchers: all VMs but one of each data
// centre crash, so the watcher role must move.
TEST_F(ConfigDistribution, WatchersCrashOthersTakeOver) {
  for (std::size_t i = 0; i < 9; ++i) cluster.Crash(i);
  cluster.RunFor(seconds(5));
  const ObjectVersion version = cluster.store.Write(
      "teams/t", TeamValue(TeamText("t", {"s-1"}, "direct")));
  EXPECT_TRUE(IsInForceWithinLimit(version));
}

TEST_F(ConfigDistribution, BadTextInTheStoreChangesNothing) {
  cluster.store.Write("teams/t", "{}");
  cluster.RunFor(seconds(3));
  EXPECT_TRUE(cluster.IsInForceEverywhere("t", first));
  EXPECT_TRUE(cluster.HoldsOnAllRunning([&](const auto& node) {
    return node.configs.FindTeam("t")->highest_seen == first + 1;
  }));
  // A proxy that starts now must get the version in force from its peers.
  cluster.Start(3);
  EXPECT_TRUE(IsInForceWithinLimit(first));
}

// Guards against lost updates that are not repaired after a digest mismatch.
TEST_F(ConfigDistribution, LossOfMessagesIsRepairedInTime) {
  cluster.loss = 0.2;
  ObjectVersion base = first;
  for (int i = 0; i < 10; ++i) {
    const SubmitResult result = SubmitAt(1, base, std::to_string(i));
    ASSERT_EQ(result.status, SubmitStatus::kAccepted);
    ASSERT_TRUE(IsInForceWithinLimit(result.version)) << i;
    base = result.version;
  }
}

TEST_F(ConfigDistribution, StoreDownKeepsConfigurationAndResultIsUnknown) {
  cluster.store.SetDown(true);
  const SubmitResult result = SubmitAt(0, first, "lost");
  // The proxy cannot rule out that the store applied the update.
  EXPECT_EQ(result.status, SubmitStatus::kUnknown);
  EXPECT_NE(result.message.find(result.submission), std::string::npos);
  ExpectNeverReverts(first, seconds(30));
  EXPECT_TRUE(cluster.IsInForceEverywhere("t", first));
  cluster.store.SetDown(false);
  const ObjectVersion version = cluster.store.Write(
      "teams/t", TeamValue(TeamText("t", {"s-1"}, "after")));
  EXPECT_TRUE(IsInForceWithinLimit(version));
}

// Guards against the result "unknown" when the store has refused every call.
TEST_F(ConfigDistribution, OverloadedStoreResultIsUnavailable) {
  cluster.store.SetOverloaded(true);
  const SubmitResult result = SubmitAt(0, first, "refused");
  EXPECT_EQ(result.status, SubmitStatus::kUnavailable);
  EXPECT_EQ(cluster.store.VersionOf("teams/t"), first);
}

// Guards against watches without back-off while the store is down: two watchers
// in each of three data centres make at most one call each per second
// on average.
TEST_F(ConfigDistribution, StoreDownCallsBackOff) {
  cluster.store.SetDown(true);
  cluster.RunFor(seconds(10));
  const std::uint64_t before = cluster.store.calls();
  cluster.RunFor(seconds(60));
  EXPECT_LE(cluster.store.calls() - before, 6U * 60);
  EXPECT_GE(cluster.store.calls() - before, 6U * 10);
}

TEST_F(ConfigDistribution, SlowStoreAcceptedVersionIsInForceInTime) {
  cluster.store.SetDelay(milliseconds(800));
  const SubmitResult result = SubmitAt(2, first, "slow");
  ASSERT_EQ(result.status, SubmitStatus::kAccepted);
  EXPECT_TRUE(IsInForceWithinLimit(result.version));
}

// Guards against the result "unknown" for every submission while the store is
// slow.
TEST_F(ConfigDistribution, StoreTakesTwoSecondsResultIsAccepted) {
  // The delay applies in each direction.
  cluster.store.SetDelay(milliseconds(1050));
  const SubmitResult result = SubmitAt(2, first, "slow");
  ASSERT_EQ(result.status, SubmitStatus::kAccepted);
  EXPECT_TRUE(IsInForceWithinLimit(result.version));
}

// Guards against a wrong result when the store is so slow that all calls time
// out, including each copy of the update and each read.
TEST_F(ConfigDistribution, VerySlowStoreResultIsUnknownAndVersionArrives) {
  cluster.store.SetDelay(seconds(3));
  const SubmitResult result = SubmitAt(2, first, "very-slow");
  EXPECT_EQ(result.status, SubmitStatus::kUnknown);
  cluster.store.SetDelay(milliseconds(3));
  cluster.RunFor(seconds(10));
  EXPECT_EQ(cluster.store.VersionOf("teams/t"), first + 1);
  EXPECT_TRUE(cluster.IsInForceEverywhere("t", first + 1));
}

TEST_F(ConfigDistribution, LostReplyIsResolvedByReadingBack) {
  cluster.store.DropPutReplies(1);
  const SubmitResult result = SubmitAt(0, first, "answer-lost");
  ASSERT_EQ(result.status, SubmitStatus::kAccepted);
  EXPECT_EQ(result.version, cluster.store.VersionOf("teams/t"));
  EXPECT_TRUE(IsInForceWithinLimit(result.version));
}

// Guards against the result "conflict" for an update that took effect: the
// reply is lost, and a second operator submits on top of it before the first
// proxy reads the object back.
TEST_F(ConfigDistribution, LostReplyThenLaterSubmissionIsStillAccepted) {
  cluster.store.DropPutReplies(1);
  std::optional<SubmitResult> early_result;
  StartSubmit(0, first, "early", early_result);
  cluster.RunUntil([&] { return cluster.store.VersionOf("teams/t") != first; },
                   seconds(1), milliseconds(1));
  cluster.store.SetDelay(milliseconds(1));
  std::optional<SubmitResult> later_result;
  StartSubmit(1, first + 1, "later", later_result);
  cluster.RunFor(seconds(5));
  ASSERT_TRUE(early_result.has_value() && later_result.has_value());
  EXPECT_EQ(early_result->status, SubmitStatus::kAccepted);
  EXPECT_EQ(early_result->version, first + 1);
  EXPECT_EQ(later_result->status, SubmitStatus::kAccepted);
  EXPECT_TRUE(IsInForceWithinLimit(later_result->version));
}

TEST_F(ConfigDistribution, RacingOperatorsHaveOneWinner) {
  for (const std::size_t racers : {2U, 3U}) {
    const ObjectVersion base = cluster.store.VersionOf("teams/t");
    std::vector<std::optional<SubmitResult>> results(racers);
    for (std::size_t i = 0; i < racers; ++i) {
      StartSubmit(i, base, "racer-" + std::to_string(i), results[i]);
    }
    cluster.RunFor(seconds(5));
    std::size_t winners = 0;
    for (const std::optional<SubmitResult>& result : results) {
      ASSERT_TRUE(result.has_value());
      if (result->status == SubmitStatus::kAccepted) {
        ++winners;
      } else {
        EXPECT_EQ(result->status, SubmitStatus::kConflict);
        EXPECT_EQ(result->version, base + 1);
        EXPECT_NE(result->message.find(std::to_string(base + 1)),
                  std::string::npos);
      }
    }
    EXPECT_EQ(winners, 1U);
    EXPECT_TRUE(IsInForceWithinLimit(base + 1));
  }
}

TEST_F(ConfigDistribution, InvalidTextOrForeignServiceIsRefusedWithErrors) {
  SimulatedCluster::Node& node = *cluster.nodes[0];
  const auto submit = [&](const TeamName& team, const std::string& text) {
    std::optional<SubmitResult> result;
    node.submitter.Submit(
        team, text, 0, [&](const SubmitResult& given) { result = given; },
        cluster.simulation.now());
    return result.value_or(SubmitResult{});
  };
  const SubmitResult broken = submit("t", "team = 3");
  EXPECT_EQ(broken.status, SubmitStatus::kInvalid);
  EXPECT_EQ(broken.errors.front().position.column, 8U);
  const SubmitResult foreign = submit("u", TeamText("u", {"s-1"}));
  EXPECT_EQ(foreign.status, SubmitStatus::kInvalid);
  EXPECT_NE(foreign.errors.front().message.find("team t"), std::string::npos);
  EXPECT_EQ(submit("u", TeamText("t", {})).status, SubmitStatus::kInvalid);
}

TEST_F(ConfigDistribution, ProxyStartedInAnOutageGetsConfigFromPeers) {
  cluster.store.SetDown(true);
  cluster.Start(7);
  EXPECT_EQ(cluster.nodes[7]->VersionOf("t"), 0U);
  EXPECT_TRUE(IsInForceWithinLimit(first));
}

TEST_F(ConfigDistribution, ProxyStartedAloneGetsConfigFromTheStore) {
  for (std::size_t i = 0; i < 12; ++i) cluster.Crash(i);
  cluster.Start(7);
  EXPECT_TRUE(IsInForceWithinLimit(first));
}

// Guards against an old version that returns with a paused VM.
TEST_F(ConfigDistribution, PausedProxyDoesNotDisseminateAnOldVersion) {
  cluster.Pause(4, seconds(30));
  const SubmitResult second = SubmitAt(0, first, "second");
  ASSERT_EQ(second.status, SubmitStatus::kAccepted);
  cluster.RunFor(seconds(29));
  EXPECT_EQ(cluster.nodes[4]->VersionOf("t"), first);
  // The VM forwards the old version as if it had been paused while forwarding.
  cluster.nodes[4]->distributor.OnSubmissionAccepted(
      "t", first, TeamValue(TeamText("t", {"s-1"}, "first")),
      cluster.simulation.now());
  for (std::size_t i = 0; i < 12; ++i) {
    if (i == 4) continue;
    cluster.nodes[4]->Send(
        cluster.nodes[i]->name(),
        ConfigUpdateMessage{"t", first, TeamValue(TeamText("t", {}))});
  }
  for (int i = 0; i < 20; ++i) {
    cluster.RunFor(milliseconds(100));
    for (std::size_t vm = 0; vm < 12; ++vm) {
      if (vm != 4) {
        ASSERT_EQ(cluster.nodes[vm]->VersionOf("t"), second.version);
      }
    }
  }
  EXPECT_TRUE(IsInForceWithinLimit(second.version));
}

// One data centre is partitioned from the two others and from the store, so
// that no update can reach it. It must catch up within the bound after the
// partition heals.
TEST_F(ConfigDistribution, DataCentresCutForAnHourAgreeAfterJoining) {
  cluster.Partition("mendoza", "cordoba", true);
  cluster.Partition("cordoba", "parana", true);
  cluster.store.SetCutOff("cordoba", true);
  cluster.RunFor(seconds(10));
  ObjectVersion base = first;
  for (int i = 0; i < 6; ++i) {
    const SubmitResult result = SubmitAt(0, base, std::to_string(i));
    ASSERT_EQ(result.status, SubmitStatus::kAccepted);
    base = result.version;
    cluster.RunFor(std::chrono::minutes(10));
  }
  EXPECT_EQ(cluster.nodes[1]->VersionOf("t"), first);
  EXPECT_EQ(cluster.nodes[0]->VersionOf("t"), base);
  cluster.Partition("mendoza", "cordoba", false);
  cluster.Partition("cordoba", "parana", false);
  EXPECT_TRUE(IsInForceWithinLimit(base));
  ExpectNeverReverts(base, seconds(10));
}

// The store is away for a moment and restored to the state of `copied_at`.
class ConfigDistributionWithRestoredStore : public ConfigDistribution {
 protected:
  void RestoreStore(TimePoint copied_at) {
    cluster.store.SetDown(true);
    cluster.RunFor(seconds(2));
    cluster.store.Restore(copied_at);
    cluster.store.SetDown(false);
  }
  /// Runs until the store and all VMs have the text of the submission.
  bool IsRestoredWithinLimit(const std::string& comment) {
    const auto restored = [&] {
      const ObjectVersion version = cluster.store.VersionOf("teams/t");
      if (version == 0 || !cluster.IsInForceEverywhere("t", version)) {
        return false;
      }
      const std::string needle = "# " + comment + "\\n";
      return cluster.store.Contents().at("teams/t").find(needle) !=
                 std::string::npos &&
             cluster.HoldsOnAllRunning([&](const auto& node) {
               return node.configs.FindTeam("t")->value.find(needle) !=
                      std::string::npos;
             });
    };
    cluster.RunUntil(restored, 2 * kInForceLimit);
    return restored();
  }
};

// Guards against watches that follow the revisions of the lost state.
TEST_F(ConfigDistributionWithRestoredStore, LaterChangesAreInForceInTime) {
  ASSERT_EQ(SubmitAt(3, first, "second").status, SubmitStatus::kAccepted);
  RestoreStore(cluster.simulation.now());
  cluster.RunFor(seconds(3));
  const ObjectVersion version = cluster.store.Write(
      "teams/t", TeamValue(TeamText("t", {"s-1"}, "direct"), "y"));
  EXPECT_TRUE(IsInForceWithinLimit(version));
}

// Guards against an accepted text that is replaced by the one of the copy.
TEST_F(ConfigDistributionWithRestoredStore, LostTextStaysAndIsWrittenAgain) {
  const TimePoint copied_at = cluster.simulation.now();
  const SubmitResult second = SubmitAt(3, first, "second");
  ASSERT_TRUE(IsInForceWithinLimit(second.version));
  RestoreStore(copied_at);
  for (Duration passed{0}; passed < seconds(5); passed += milliseconds(10)) {
    cluster.RunFor(milliseconds(10));
    ASSERT_TRUE(cluster.HoldsOnAllRunning([](const auto& node) {
      return node.configs.FindTeam("t")->value.find("# second") !=
             std::string::npos;
    }));
  }
  EXPECT_TRUE(IsRestoredWithinLimit("second"));
}

// Guards against a team that is missing in the store after its text was
// accepted.
TEST_F(ConfigDistributionWithRestoredStore, LostTeamIsWrittenAgain) {
  cluster.store.Write("teams/u", TeamValue(TeamText("u", {"s-2"})));
  cluster.RunFor(seconds(3));
  const TimePoint copied_at = cluster.simulation.now();
  cluster.RunFor(seconds(1));
  std::optional<SubmitResult> result;
  cluster.nodes[4]->submitter.Submit(
      "v", TeamText("v", {"s-3"}), 0,
      [&result](const SubmitResult& given) { result = given; },
      cluster.simulation.now());
  cluster.Schedule(*cluster.nodes[4]);
  cluster.RunUntil([&] { return result.has_value(); }, seconds(5));
  ASSERT_TRUE(result.has_value());
  ASSERT_EQ(result->status, SubmitStatus::kAccepted);
  cluster.RunFor(seconds(3));
  RestoreStore(copied_at);
  ASSERT_EQ(cluster.store.VersionOf("teams/v"), 0U);
  cluster.RunFor(2 * kInForceLimit);
  const ObjectVersion version = cluster.store.VersionOf("teams/v");
  EXPECT_NE(version, 0U);
  EXPECT_TRUE(cluster.IsInForceEverywhere("v", version));
}

// Guards against a text that was accepted shortly before the store went away
// and reaches the watchers only after they have read the copy.
TEST_F(ConfigDistributionWithRestoredStore, WatchersLearnLostTextLater) {
  const TimePoint copied_at = cluster.simulation.now();
  cluster.Partition("mendoza", "cordoba", true);
  cluster.Partition("mendoza", "parana", true);
  cluster.store.SetCutOff("cordoba", true);
  cluster.store.SetCutOff("parana", true);
  ASSERT_EQ(SubmitAt(0, first, "second").status, SubmitStatus::kAccepted);
  RestoreStore(copied_at);
  cluster.store.SetCutOff("mendoza", true);
  cluster.store.SetCutOff("cordoba", false);
  cluster.store.SetCutOff("parana", false);
  cluster.RunFor(seconds(5));
  cluster.store.SetCutOff("mendoza", false);
  cluster.Partition("mendoza", "cordoba", false);
  cluster.Partition("mendoza", "parana", false);
  EXPECT_TRUE(IsRestoredWithinLimit("second"));
}

// Guards against a VM that forwards the same version repeatedly.
TEST_F(ConfigDistribution, EachProxyForwardsAVersionOnce) {
  const auto sent = [&] {
    return cluster.Sum([](const auto& node) {
      return node.distributor.counters().updates_sent;
    });
  };
  const std::uint64_t before = sent();
  const SubmitResult result = SubmitAt(5, first, "second");
  ASSERT_TRUE(IsInForceWithinLimit(result.version));
  cluster.RunFor(seconds(5));
  EXPECT_LE(sent() - before, 12U * (kUpdateFanOut + 1));
}

// Guards against a request that does not fit a frame: both VMs have more teams
// than one request may contain, and one VM lacks one in a hundred of them.
TEST(ConfigDistributionWithManyTeams, RequestIsSplitAndAllTeamsArrive) {
  SimulatedCluster cluster(2, {"mendoza"}, 4);
  cluster.store.SetDown(true);
  constexpr std::uint64_t kTeams = kMaxTeamsPerRequest + 500;
  for (std::uint64_t i = 0; i < kTeams; ++i) {
    const TeamName team = "team-" + std::to_string(i);
    const std::string value = TeamValue(TeamText(team, {}));
    cluster.nodes[0]->configs.Apply(team, i + 1, value);
    if (i % 100 != 0) cluster.nodes[1]->configs.Apply(team, i + 1, value);
  }
  std::size_t max_versions = 0;
  std::uint64_t updates = 0;
  cluster.on_send = [&](const auto&, const PeerMessage& message) {
    if (const auto* request = std::get_if<ConfigRequestMessage>(&message)) {
      max_versions = std::max(max_versions, request->versions.size());
    }
    updates += std::holds_alternative<ConfigUpdateMessage>(message) ? 1 : 0;
  };
  cluster.RunFor(seconds(3));
  EXPECT_TRUE(cluster.nodes[0]->configs.digest() ==
              cluster.nodes[1]->configs.digest());
  EXPECT_LE(max_versions, kMaxTeamsPerRequest + 2);
  EXPECT_EQ(updates, 46U);
}

}  // namespace
}  // namespace carawayhaven
