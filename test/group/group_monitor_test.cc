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

/// A fault: `start` begins it and schedules its end, if it has one.
struct FaultCase {
  const char* name;
  /// True when the fault requires that the primary is replaced.
  bool needs_promotion;
  void (*start)(FakeDeployment&);
};

void RestoreLater(FakeDeployment& cluster, std::size_t endpoint) {
  cluster.clock.After(
      kFaultTime, [&cluster, endpoint] { cluster.group.Restore(endpoint); });
}

void StoreFaultFor(FakeDeployment& cluster, StoreFault fault) {
  cluster.store.fault = fault;
  cluster.clock.After(3 * kFaultTime,
                      [&cluster] { cluster.store.fault = StoreFault::kNone; });
}

/// Pauses the first VM whose promoter reaches the state, once.
void PauseCandidate(FakeDeployment& cluster, const char* state, Duration time) {
  const auto done = std::make_shared<bool>(false);
  for (auto& vm : cluster.vms) {
    vm->observers.push_back([&cluster, state, time, done](FakeVm& self) {
      if (*done || self.monitor->promoter_state() != state) return;
      *done = true;
      self.Pause();
      cluster.clock.After(time, [&self] { self.Resume(); });
    });
  }
}

void Kill(FakeDeployment& cluster) {
  const std::size_t primary = cluster.group.CurrentPrimary();
  cluster.group.Crash(primary);
  RestoreLater(cluster, primary);
}

const FaultCase kFaults[] = {
    {"Kill", true, Kill},
    {"Cut", true,
     [](FakeDeployment& cluster) {
       const std::size_t primary = cluster.group.CurrentPrimary();
       cluster.group[primary].cut = true;
       RestoreLater(cluster, primary);
     }},
    {"Freeze", true,
     [](FakeDeployment& cluster) {
       const std::size_t primary = cluster.group.CurrentPrimary();
       cluster.group.Freeze(primary);
       RestoreLater(cluster, primary);
     }},
    {"Silence", false,
     [](FakeDeployment& cluster) {
       cluster.group.Silence(cluster.group.CurrentPrimary());
     }},
    {"StoreDown", false,
     [](FakeDeployment& cluster) {
       StoreFaultFor(cluster, StoreFault::kDown);
     }},
    {"StoreSlow", false,
     [](FakeDeployment& cluster) {
       StoreFaultFor(cluster, StoreFault::kSlow);
     }},
    {"StoreAnswerLost", false,
     [](FakeDeployment& cluster) {
       StoreFaultFor(cluster, StoreFault::kAnswerLost);
     }},
    {"PromoteAnswerLost", false,
     [](FakeDeployment& cluster) {
       for (std::size_t i = 0; i < 3; ++i) {
         cluster.group[i].drop_answer = EndpointOperation::kPromote;
       }
     }},
    {"PausedSurveying", false,
     [](FakeDeployment& cluster) {
       PauseCandidate(cluster, "surveying", kFaultTime);
     }},
    {"PausedVerifying", false,
     [](FakeDeployment& cluster) {
       PauseCandidate(cluster, "verifying", kFaultTime);
     }},
    {"PausedFencing", false,
     [](FakeDeployment& cluster) {
       PauseCandidate(cluster, "fencing", kFaultTime);
     }},
    {"PausedPromoting", false,
     [](FakeDeployment& cluster) {
       PauseCandidate(cluster, "promoting", kFaultTime);
     }},
    {"PausedFollowing", false,
     [](FakeDeployment& cluster) {
       PauseCandidate(cluster, "following", kFaultTime);
     }},
    // The first candidate resumes during the attempt of the second.
    {"TwoCandidates", false,
     [](FakeDeployment& cluster) {
       PauseCandidate(cluster, "surveying", milliseconds(310));
     }},
};

class GroupWithFaults
    : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>> {
 protected:
  void Check(FakeDeployment& cluster) {
    std::map<Term, EndpointName> primaries;
    Term last = 0;
    for (const auto& confirmation : cluster.group.confirmations) {
      const auto [entry, inserted] =
          primaries.emplace(confirmation.term, confirmation.endpoint);
      EXPECT_EQ(entry->second, confirmation.endpoint)
          << "two primaries in term " << confirmation.term;
      EXPECT_GE(confirmation.term, last) << "a replaced primary confirmed";
      last = confirmation.term;
    }
    const std::size_t primary = cluster.group.CurrentPrimary();
    std::set<std::uint64_t> held;
    for (const auto& entry : cluster.group[primary].log) held.insert(entry.id);
    std::size_t lost = 0;
    for (const auto& write : cluster.writer->acknowledged) {
      if (!held.contains(write.id)) ++lost;
    }
    EXPECT_EQ(lost, 0U) << "acknowledged writes";
    EXPECT_LT(cluster.LongestGap(TimePoint() + seconds(1)), seconds(8));
    EXPECT_FALSE(cluster.writer->acknowledged.empty());
  }

  /// Expects that all endpoints and VMs know the same term and primary, and
  /// that the store holds the term.
  void CheckSettled(FakeDeployment& cluster) {
    const FakeEndpoint& primary = cluster.group[cluster.group.CurrentPrimary()];
    for (std::size_t i = 0; i < 3; ++i) {
      EXPECT_EQ(cluster.group[i].term, primary.term) << "endpoint " << i;
      EXPECT_EQ(cluster.group[i].primary, primary.name) << "endpoint " << i;
    }
    for (auto& vm : cluster.vms) {
      const GroupView& view = vm->directory.ViewOf(cluster.group.config());
      EXPECT_EQ(view.term, primary.term) << vm->self();
      EXPECT_FALSE(vm->monitor->publishing()) << vm->self();
    }
    if (primary.term > 1) {
      const auto& stored = cluster.store.objects["groups/s"];
      EXPECT_EQ(ParseGroupRecord("s", stored.value).term, primary.term);
    }
  }
};

// Guards against two primaries in a term, lost acknowledged writes, a long gap
// without writes and needless promotions: for each pair of faults at once, and
// for each fault twice in a row.
TEST_P(GroupWithFaults, FaultsHappenKeepsAcknowledgedWrites) {
  const FaultCase& first = kFaults[std::get<0>(GetParam())];
  const FaultCase& second = kFaults[std::get<1>(GetParam())];
  const bool twice = first.start == second.start;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    FakeDeployment cluster(FakeLatency{}, seed);
    cluster.RunFor(seconds(2) + milliseconds(cluster.random() % 250));
    first.start(cluster);
    if (twice) cluster.RunFor(kFaultTime + seconds(2));
    second.start(cluster);
    cluster.RunFor(seconds(40));
    Check(cluster);
    CheckSettled(cluster);
    const Term term = cluster.group[cluster.group.CurrentPrimary()].term;
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
  GroupOfThree() { cluster_.RunFor(seconds(2)); }

  Term CurrentTerm() {
    return cluster_.group[cluster_.group.CurrentPrimary()].term;
  }

  FakeDeployment cluster_{FakeLatency{milliseconds(1), milliseconds(20)}, 7};
};

// Guards against replacing a primary when only its replicas have failed.
TEST_F(GroupOfThree, BothReplicasAreDownKeepsPrimaryAndRecovers) {
  cluster_.group.Crash(1);
  cluster_.group.Crash(2);
  cluster_.RunFor(seconds(10));
  const std::size_t before = cluster_.writer->acknowledged.size();
  cluster_.group.Restore(1);
  cluster_.RunFor(seconds(2));
  cluster_.group.Restore(2);
  cluster_.RunFor(seconds(10));
  EXPECT_EQ(CurrentTerm(), 1U);
  EXPECT_GT(cluster_.writer->acknowledged.size(), before);
}

// Guards against a promotion that no proxy reports, or that several report.
TEST_F(GroupOfThree, PrimaryIsReplacedIsReportedByOneProxy) {
  cluster_.group.Crash(0);
  cluster_.RunFor(seconds(5));
  ASSERT_EQ(CurrentTerm(), 2U);
  int promotions = 0;
  for (const auto& vm : cluster_.vms) promotions += vm->promotions;
  EXPECT_EQ(promotions, 1);
}

// Guards against a pool that keeps using connections although its VM detected
// that they no longer answer, and against such a report about a primary that is
// only slow or down.
TEST_F(GroupOfThree, ConnectionsGoSilentIsReportedWithinOneSecond) {
  const EndpointName primary =
      cluster_.group[cluster_.group.CurrentPrimary()].name;
  for (const auto& vm : cluster_.vms) EXPECT_TRUE(vm->silent_reports.empty());
  cluster_.group.Silence(cluster_.group.CurrentPrimary());
  cluster_.RunFor(seconds(1));
  // The VMs that own an endpoint probe the primary; the last one owns none.
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(cluster_.vms[i]->silent_reports,
              std::vector<EndpointName>{primary});
  }
}

TEST_F(GroupOfThree, PrimaryIsDownReportsNoSilentConnections) {
  cluster_.group.Crash(0);
  cluster_.RunFor(seconds(5));
  for (const auto& vm : cluster_.vms) EXPECT_TRUE(vm->silent_reports.empty());
}

// Guards against a promotion without a majority of the endpoints.
TEST_F(GroupOfThree, PrimaryAndReplicaAreDownRecoversOnReturn) {
  cluster_.group.Crash(0);
  cluster_.group.Crash(1);
  cluster_.RunFor(seconds(10));
  EXPECT_EQ(cluster_.group[2].term, 1U);
  cluster_.group.Restore(1);
  cluster_.RunFor(seconds(8));
  EXPECT_GT(CurrentTerm(), 1U);
  cluster_.group.Restore(0);
  cluster_.RunFor(seconds(10));
  CheckSettled(cluster_);
}

// Guards against choosing the endpoint by the length of its log alone: the
// unconfirmed entries of a replaced primary would win over acknowledged ones.
TEST_F(GroupOfThree, LongerLogOfOlderTermIsNotPromoted) {
  cluster_.group[0].cut = true;
  cluster_.RunFor(seconds(5));
  const std::size_t second = cluster_.group.CurrentPrimary();
  ASSERT_EQ(cluster_.group[second].term, 2U);
  FakeEndpoint::Entry unconfirmed;
  unconfirmed.term = 1;
  cluster_.group[0].log.resize(cluster_.group[second].log.size() + 1000,
                               unconfirmed);
  cluster_.group.Crash(second);
  cluster_.RunFor(seconds(8));
  EXPECT_EQ(cluster_.group.CurrentPrimary(), 3 - second);
  cluster_.group.Restore(0);
  cluster_.group.Restore(second);
  cluster_.RunFor(seconds(10));
  CheckSettled(cluster_);
}

// Guards against a group that stays blocked when the chosen endpoint fails
// between fencing and promotion: the only majority left then includes the old
// primary.
TEST_F(GroupOfThree, ChosenFailsBeforePromotionIsReplacedInHigherTerm) {
  const auto done = std::make_shared<bool>(false);
  for (auto& vm : cluster_.vms) {
    vm->observers.push_back([this, done](FakeVm& self) {
      if (*done || self.monitor->promoter_state() != "promoting") return;
      *done = true;
      for (std::size_t i = 1; i < 3; ++i) {
        // Crashes the endpoint that was chosen, which has the longer log.
        if (cluster_.group[i].log.size() >= cluster_.group[3 - i].log.size()) {
          cluster_.group.Crash(i);
          break;
        }
      }
    });
  }
  cluster_.group.Freeze(0);
  cluster_.clock.After(seconds(3), [this] { cluster_.group.Restore(0); });
  cluster_.RunFor(seconds(15));
  EXPECT_GT(CurrentTerm(), 2U);
  Check(cluster_);
}

// Guards against an endpoint that never rejoins the group after it granted a
// term to a candidate that did not get a majority.
TEST_F(GroupOfThree, EndpointGrantedUnwonTermRejoinsTheGroup) {
  cluster_.group[2].term = 5;
  cluster_.group[2].primary.clear();
  cluster_.RunFor(seconds(15));
  CheckSettled(cluster_);
  Check(cluster_);
}

// Guards against a planned change that fails or loses a write.
TEST_F(GroupOfThree, PlannedChangeIsRequestedMovesPrimaryAfterDrain) {
  cluster_.group.config().endpoints[0].leaving = true;
  for (auto& vm : cluster_.vms) {
    vm->monitor->Update(cluster_.group.config(), cluster_.clock.now());
  }
  cluster_.vms[0]->writes_in_flight = true;
  cluster_.vms[0]->Run([this] {
    cluster_.vms[0]->monitor->RequestPlannedChange(cluster_.clock.now());
  });
  cluster_.RunFor(seconds(1));
  EXPECT_TRUE(cluster_.vms[0]->holding);
  EXPECT_EQ(CurrentTerm(), 1U);
  cluster_.vms[0]->writes_in_flight = false;
  cluster_.RunFor(seconds(1));
  EXPECT_FALSE(cluster_.vms[0]->holding);
  EXPECT_EQ(CurrentTerm(), 2U);
  EXPECT_NE(cluster_.group.CurrentPrimary(), 0U);
  cluster_.RunFor(seconds(5));
  Check(cluster_);
  CheckSettled(cluster_);
}

// Guards against writes that are held forever.
TEST_F(GroupOfThree, WritesNeverEndReleasesHeldWrites) {
  cluster_.vms[0]->writes_in_flight = true;
  cluster_.vms[0]->Run([this] {
    cluster_.vms[0]->monitor->RequestPlannedChange(cluster_.clock.now());
  });
  cluster_.RunFor(Promoter::kMaxWriteHold + milliseconds(100));
  EXPECT_FALSE(cluster_.vms[0]->holding);
  EXPECT_EQ(CurrentTerm(), 1U);
}

// Guards against a VM that owns all endpoints and waits for a second observer,
// which cannot exist.
TEST_F(GroupOfThree, OneVmOwnsAllDecidesAlone) {
  for (auto& vm : cluster_.vms) {
    vm->owner = [](const EndpointConfig&) { return VmName("vm1"); };
  }
  cluster_.RunFor(seconds(2));
  cluster_.group.Crash(0);
  cluster_.RunFor(seconds(4));
  EXPECT_EQ(CurrentTerm(), 2U);
}

// Guards against a promotion because of one observer's suspicion: that
// observer's own network may be at fault.
TEST_F(GroupOfThree, OneObserverSuspectsDoesNotPromote) {
  cluster_.vms[0]->Pause();
  cluster_.vms[2]->Pause();
  cluster_.group.Freeze(0);
  cluster_.RunFor(seconds(5));
  EXPECT_TRUE(cluster_.vms[1]->monitor->suspected());
  EXPECT_EQ(cluster_.group[1].term, 1U);
}

// Guards against a promotion that is withdrawn at each change of an unrelated
// VM or team: the failure of a data centre causes hundreds of such changes.
TEST_F(GroupOfThree, UnrelatedChangesDuringFailurePromotesInTime) {
  for (int i = 0; i < 150; ++i) {
    cluster_.clock.After(milliseconds(20 * i), [this] {
      for (auto& vm : cluster_.vms) {
        vm->Run([this, &vm] {
          vm->monitor->Update(cluster_.group.config(), cluster_.clock.now());
        });
      }
    });
  }
  cluster_.group.Crash(0);
  cluster_.RunFor(seconds(10));
  EXPECT_EQ(CurrentTerm(), 2U);
  EXPECT_LT(cluster_.LongestGap(TimePoint() + seconds(1)), seconds(2));
}

// Guards against a second primary when a promotion took effect but its answer
// was lost.
TEST_F(GroupOfThree, PromoteAnswerIsLostKeepsOnePrimaryATerm) {
  cluster_.group[2].drop_answer = EndpointOperation::kPromote;
  cluster_.group[1].drop_answer = EndpointOperation::kPromote;
  cluster_.group.Crash(0);
  cluster_.RunFor(seconds(12));
  Check(cluster_);
}

}  // namespace
}  // namespace carawayhaven
