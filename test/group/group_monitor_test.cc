#include "core/group/group_monitor.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "core/group/group_record.h"
#include "group/fake_endpoint_group.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaultTime = seconds(4);

/// Starts one fault and ends it after kFaultTime.
struct FaultCase {
  const char* name;
  /// True when the primary must be replaced because of it.
  bool needs_promotion;
  void (*start)(FakeDeployment&);
};

void RestoreLater(FakeDeployment& world, std::size_t endpoint) {
  world.clock.After(kFaultTime,
                    [&world, endpoint] { world.group.Restore(endpoint); });
}

void StoreFaultFor(FakeDeployment& world, StoreFault fault) {
  world.store.fault = fault;
  world.clock.After(3 * kFaultTime,
                    [&world] { world.store.fault = StoreFault::kNone; });
}

/// Pauses the first VM that reaches the state, once.
void PauseCandidate(FakeDeployment& world, const char* state, Duration time) {
  const auto done = std::make_shared<bool>(false);
  for (auto& vm : world.vms) {
    vm->observers.push_back([&world, state, time, done](FakeVm& self) {
      if (*done || self.monitor->promoter_state() != state) return;
      *done = true;
      self.Pause();
      world.clock.After(time, [&self] { self.Resume(); });
    });
  }
}

void Kill(FakeDeployment& world) {
  const std::size_t primary = world.group.CurrentPrimary();
  world.group.Crash(primary);
  RestoreLater(world, primary);
}

const FaultCase kFaults[] = {
    {"Kill", true, Kill},
    {"Cut", true,
     [](FakeDeployment& world) {
       const std::size_t primary = world.group.CurrentPrimary();
       world.group[primary].cut = true;
       RestoreLater(world, primary);
     }},
    {"Freeze", true,
     [](FakeDeployment& world) {
       const std::size_t primary = world.group.CurrentPrimary();
       world.group.Freeze(primary);
       RestoreLater(world, primary);
     }},
    {"Silence", false,
     [](FakeDeployment& world) {
       world.group.Silence(world.group.CurrentPrimary());
     }},
    {"StoreDown", false,
     [](FakeDeployment& world) { StoreFaultFor(world, StoreFault::kDown); }},
    {"StoreSlow", false,
     [](FakeDeployment& world) { StoreFaultFor(world, StoreFault::kSlow); }},
    {"StoreAnswerLost", false,
     [](FakeDeployment& world) {
       StoreFaultFor(world, StoreFault::kAnswerLost);
     }},
    {"PromoteAnswerLost", false,
     [](FakeDeployment& world) {
       for (std::size_t i = 0; i < 3; ++i) {
         world.group[i].drop_answer = EndpointOperation::kPromote;
       }
     }},
    {"PausedSurveying", false,
     [](FakeDeployment& world) {
       PauseCandidate(world, "surveying", kFaultTime);
     }},
    {"PausedVerifying", false,
     [](FakeDeployment& world) {
       PauseCandidate(world, "verifying", kFaultTime);
     }},
    {"PausedFencing", false,
     [](FakeDeployment& world) {
       PauseCandidate(world, "fencing", kFaultTime);
     }},
    {"PausedPromoting", false,
     [](FakeDeployment& world) {
       PauseCandidate(world, "promoting", kFaultTime);
     }},
    {"PausedFollowing", false,
     [](FakeDeployment& world) {
       PauseCandidate(world, "following", kFaultTime);
     }},
    // The first candidate goes on while the second is in its attempt.
    {"TwoCandidates", false,
     [](FakeDeployment& world) {
       PauseCandidate(world, "surveying", milliseconds(310));
     }},
};

class GroupWithFaults
    : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>> {
 protected:
  void Check(FakeDeployment& world) {
    std::map<Term, EndpointName> primaries;
    Term last = 0;
    for (const auto& confirmation : world.group.confirmations) {
      const auto [entry, inserted] =
          primaries.emplace(confirmation.term, confirmation.endpoint);
      EXPECT_EQ(entry->second, confirmation.endpoint)
          << "two primaries in term " << confirmation.term;
      EXPECT_GE(confirmation.term, last) << "a replaced primary confirmed";
      last = confirmation.term;
    }
    const std::size_t primary = world.group.CurrentPrimary();
    std::set<std::uint64_t> held;
    for (const auto& entry : world.group[primary].log) held.insert(entry.id);
    std::size_t lost = 0;
    for (const auto& write : world.writer->acknowledged) {
      if (!held.contains(write.id)) ++lost;
    }
    EXPECT_EQ(lost, 0U) << "acknowledged writes";
    EXPECT_LT(world.LongestGap(TimePoint() + seconds(1)), seconds(8));
    EXPECT_FALSE(world.writer->acknowledged.empty());
  }

  /// Everybody knows the same primary and the store has it.
  void CheckSettled(FakeDeployment& world) {
    const FakeEndpoint& primary = world.group[world.group.CurrentPrimary()];
    for (std::size_t i = 0; i < 3; ++i) {
      EXPECT_EQ(world.group[i].term, primary.term) << "endpoint " << i;
      EXPECT_EQ(world.group[i].primary, primary.name) << "endpoint " << i;
    }
    for (auto& vm : world.vms) {
      const GroupView& view = vm->directory.ViewOf(world.group.config());
      EXPECT_EQ(view.term, primary.term) << vm->self();
      EXPECT_FALSE(vm->monitor->publishing()) << vm->self();
    }
    if (primary.term > 1) {
      const auto& stored = world.store.objects["groups/s"];
      EXPECT_EQ(ParseGroupRecord("s", stored.value).term, primary.term);
    }
  }
};

// Guards against two primaries in a term, lost acknowledged writes, a long gap
// and needless promotions, for each fault, each pair at once and each twice.
TEST_P(GroupWithFaults, FaultsHappenKeepsAcknowledgedWrites) {
  const FaultCase& first = kFaults[std::get<0>(GetParam())];
  const FaultCase& second = kFaults[std::get<1>(GetParam())];
  const bool twice = first.start == second.start;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    FakeDeployment world(FakeLatency{}, seed);
    world.RunFor(seconds(2) + milliseconds(world.random() % 250));
    first.start(world);
    if (twice) world.RunFor(kFaultTime + seconds(2));
    second.start(world);
    world.RunFor(seconds(40));
    Check(world);
    CheckSettled(world);
    const Term term = world.group[world.group.CurrentPrimary()].term;
    if (!first.needs_promotion && !second.needs_promotion) {
      EXPECT_EQ(term, 1U) << "promotion without need";
    } else {
      EXPECT_GT(term, 1U) << "no promotion";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Pairs, GroupWithFaults,
    testing::Combine(testing::Range<std::size_t>(0, std::size(kFaults)),
                     testing::Range<std::size_t>(0, std::size(kFaults))),
    [](const auto& info) {
      return std::string(kFaults[std::get<0>(info.param)].name) + "And" +
             kFaults[std::get<1>(info.param)].name;
    });

class GroupOfThree : public GroupWithFaults {
 protected:
  GroupOfThree() { world_.RunFor(seconds(2)); }

  Term CurrentTerm() {
    return world_.group[world_.group.CurrentPrimary()].term;
  }

  FakeDeployment world_{FakeLatency{milliseconds(1), milliseconds(20)}, 7};
};

// Guards against replacing a primary that only lacks its replicas.
TEST_F(GroupOfThree, BothReplicasAreDownKeepsPrimaryAndRecovers) {
  world_.group.Crash(1);
  world_.group.Crash(2);
  world_.RunFor(seconds(10));
  const std::size_t before = world_.writer->acknowledged.size();
  world_.group.Restore(1);
  world_.RunFor(seconds(2));
  world_.group.Restore(2);
  world_.RunFor(seconds(10));
  EXPECT_EQ(CurrentTerm(), 1U);
  EXPECT_GT(world_.writer->acknowledged.size(), before);
}

// Guards against a promotion that no proxy counts, or that several count.
TEST_F(GroupOfThree, PrimaryIsReplacedIsReportedByOneProxy) {
  world_.group.Crash(0);
  world_.RunFor(seconds(5));
  ASSERT_EQ(CurrentTerm(), 2U);
  int promotions = 0;
  for (const auto& vm : world_.vms) promotions += vm->promotions;
  EXPECT_EQ(promotions, 1);
}

// Guards against a pool that goes on with connections that its VM knows to be
// silent, and against a report for a primary that is merely slow or down.
TEST_F(GroupOfThree, ConnectionsGoSilentIsReportedWithinOneSecond) {
  const EndpointName primary = world_.group[world_.group.CurrentPrimary()].name;
  for (const auto& vm : world_.vms) EXPECT_TRUE(vm->silent_reports.empty());
  world_.group.Silence(world_.group.CurrentPrimary());
  world_.RunFor(seconds(1));
  // The VMs that own an endpoint probe the primary; the last one owns none.
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(world_.vms[i]->silent_reports,
              std::vector<EndpointName>{primary});
  }
}

TEST_F(GroupOfThree, PrimaryIsDownReportsNoSilentConnections) {
  world_.group.Crash(0);
  world_.RunFor(seconds(5));
  for (const auto& vm : world_.vms) EXPECT_TRUE(vm->silent_reports.empty());
}

// Guards against a promotion that no majority carries.
TEST_F(GroupOfThree, PrimaryAndReplicaAreDownRecoversOnReturn) {
  world_.group.Crash(0);
  world_.group.Crash(1);
  world_.RunFor(seconds(10));
  EXPECT_EQ(world_.group[2].term, 1U);
  world_.group.Restore(1);
  world_.RunFor(seconds(8));
  EXPECT_GT(CurrentTerm(), 1U);
  world_.group.Restore(0);
  world_.RunFor(seconds(10));
  CheckSettled(world_);
}

// Guards against a promotion by the length of the log alone: the entries of a
// replaced primary that nobody confirmed would win over acknowledged ones.
TEST_F(GroupOfThree, LongerLogOfOlderTermIsNotPromoted) {
  world_.group[0].cut = true;
  world_.RunFor(seconds(5));
  const std::size_t second = world_.group.CurrentPrimary();
  ASSERT_EQ(world_.group[second].term, 2U);
  FakeEndpoint::Entry unconfirmed;
  unconfirmed.term = 1;
  world_.group[0].log.resize(world_.group[second].log.size() + 1000,
                             unconfirmed);
  world_.group.Crash(second);
  world_.RunFor(seconds(8));
  EXPECT_EQ(world_.group.CurrentPrimary(), 3 - second);
  world_.group.Restore(0);
  world_.group.Restore(second);
  world_.RunFor(seconds(10));
  CheckSettled(world_);
}

// Guards against a group that stays blocked when the endpoint that was chosen
// fails between fence and promotion: the majority that is left includes the
// old primary.
TEST_F(GroupOfThree, ChosenFailsBeforePromotionIsReplacedInHigherTerm) {
  const auto done = std::make_shared<bool>(false);
  for (auto& vm : world_.vms) {
    vm->observers.push_back([this, done](FakeVm& self) {
      if (*done || self.monitor->promoter_state() != "promoting") return;
      *done = true;
      for (std::size_t i = 1; i < 3; ++i) {
        // Fails whichever of the two was chosen.
        if (world_.group[i].log.size() >= world_.group[3 - i].log.size()) {
          world_.group.Crash(i);
          break;
        }
      }
    });
  }
  world_.group.Freeze(0);
  world_.clock.After(seconds(3), [this] { world_.group.Restore(0); });
  world_.RunFor(seconds(15));
  EXPECT_GT(CurrentTerm(), 2U);
  Check(world_);
}

// Guards against an endpoint that stays out of the group after it granted a
// term to a candidate that did not get a majority.
TEST_F(GroupOfThree, EndpointGrantedDeadTermIsTakenInAgain) {
  world_.group[2].term = 5;
  world_.group[2].primary.clear();
  world_.RunFor(seconds(15));
  CheckSettled(world_);
  Check(world_);
}

// Guards against an error or a lost write in a planned change.
TEST_F(GroupOfThree, PlannedChangeIsRequestedMovesPrimaryAfterDrain) {
  world_.group.config().endpoints[0].leaving = true;
  for (auto& vm : world_.vms) {
    vm->monitor->Update(world_.group.config(), world_.clock.now());
  }
  world_.vms[0]->writes_in_flight = true;
  world_.vms[0]->Run([this] {
    world_.vms[0]->monitor->RequestPlannedChange(world_.clock.now());
  });
  world_.RunFor(seconds(1));
  EXPECT_TRUE(world_.vms[0]->holding);
  EXPECT_EQ(CurrentTerm(), 1U);
  world_.vms[0]->writes_in_flight = false;
  world_.RunFor(seconds(1));
  EXPECT_FALSE(world_.vms[0]->holding);
  EXPECT_EQ(CurrentTerm(), 2U);
  EXPECT_NE(world_.group.CurrentPrimary(), 0U);
  world_.RunFor(seconds(5));
  Check(world_);
  CheckSettled(world_);
}

// Guards against writes that are held for ever.
TEST_F(GroupOfThree, WritesNeverEndReleasesHeldWrites) {
  world_.vms[0]->writes_in_flight = true;
  world_.vms[0]->Run([this] {
    world_.vms[0]->monitor->RequestPlannedChange(world_.clock.now());
  });
  world_.RunFor(Promoter::kMaxWriteHold + milliseconds(100));
  EXPECT_FALSE(world_.vms[0]->holding);
  EXPECT_EQ(CurrentTerm(), 1U);
}

// Guards against a lone VM that waits for a second observer.
TEST_F(GroupOfThree, OneVmOwnsAllDecidesAlone) {
  for (auto& vm : world_.vms) {
    vm->owner = [](const EndpointConfig&) { return VmName("vm1"); };
  }
  world_.RunFor(seconds(2));
  world_.group.Crash(0);
  world_.RunFor(seconds(4));
  EXPECT_EQ(CurrentTerm(), 2U);
}

// Guards against promoting on the word of one observer, whose own network may
// be at fault.
TEST_F(GroupOfThree, OneObserverSuspectsDoesNotPromote) {
  world_.vms[0]->Pause();
  world_.vms[2]->Pause();
  world_.group.Freeze(0);
  world_.RunFor(seconds(5));
  EXPECT_TRUE(world_.vms[1]->monitor->suspected());
  EXPECT_EQ(world_.group[1].term, 1U);
}

// Guards against a promotion that each change of an unrelated VM or team
// withdraws: when a data centre fails, hundreds of them come with the failure.
TEST_F(GroupOfThree, UnrelatedChangesDuringFailurePromotesInTime) {
  for (int i = 0; i < 150; ++i) {
    world_.clock.After(milliseconds(20 * i), [this] {
      for (auto& vm : world_.vms) {
        vm->Run([this, &vm] {
          vm->monitor->Update(world_.group.config(), world_.clock.now());
        });
      }
    });
  }
  world_.group.Crash(0);
  world_.RunFor(seconds(10));
  EXPECT_EQ(CurrentTerm(), 2U);
  EXPECT_LT(world_.LongestGap(TimePoint() + seconds(1)), seconds(2));
}

// Guards against a second primary when a promotion took effect but its answer
// was lost.
TEST_F(GroupOfThree, PromoteAnswerIsLostKeepsOnePrimaryATerm) {
  world_.group[2].drop_answer = EndpointOperation::kPromote;
  world_.group[1].drop_answer = EndpointOperation::kPromote;
  world_.group.Crash(0);
  world_.RunFor(seconds(12));
  Check(world_);
}

}  // namespace
}  // namespace carawayhaven
