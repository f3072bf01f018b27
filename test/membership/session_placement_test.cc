#include "core/membership/session_placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace carawayhaven {
namespace {

class SessionPlacementOfVms : public ::testing::Test {
 protected:
  static VmRecord Record(const std::string& dc, int number) {
    VmRecord record;
    record.vm = dc + "-" + std::to_string(number);
    record.data_centre = dc;
    record.address = "10.0.0.1:7000";
    record.incarnation = 1;
    return record;
  }

  void Fill(MemberTable& table, const std::string& dc, int first, int count) {
    for (int i = first; i < first + count; ++i) {
      table.Merge(Record(dc, i), TimePoint{});
    }
  }
};

TEST_F(SessionPlacementOfVms, SmallDataCentreAllRunSessions) {
  EXPECT_EQ(SessionPlacement::SessionVmCount(1), 1U);
  EXPECT_EQ(SessionPlacement::SessionVmCount(2), 2U);
}

TEST_F(SessionPlacementOfVms, LargeDataCentreOneOfEightRunsSessions) {
  EXPECT_EQ(SessionPlacement::SessionVmCount(15), 2U);
  EXPECT_EQ(SessionPlacement::SessionVmCount(138), 18U);
}

TEST_F(SessionPlacementOfVms, AllVmsSelectTheSameSessionVms) {
  std::size_t session_vms = 0;
  for (int self = 0; self < 14; ++self) {
    MemberTable table(Record("mendoza", self));
    for (int other = 0; other < 14; ++other) {
      if (other != self) table.Merge(Record("mendoza", other), TimePoint{});
    }
    if (SessionPlacement(table).IsSessionVm()) ++session_vms;
  }
  EXPECT_EQ(session_vms, 2U);
}

// Guards against a cold start of a large fleet in which most VMs run sessions,
// and so watch the store, until they have seen the entries of the others. Each
// VM lists the entries when it has written its own; of the VMs that list after
// k others, 2 of k+1 are selected, which is 8 of 32 on average.
TEST_F(SessionPlacementOfVms, LargeFleetStartsFewVmsRunSessions) {
  constexpr int kDataCentres = 6;
  constexpr int kVms = 32;
  int selected = 0;
  for (int dc = 0; dc < kDataCentres; ++dc) {
    const std::string name = "dc-" + std::to_string(dc);
    for (int self = 0; self < kVms; ++self) {
      MemberTable table(Record(name, self));
      Fill(table, name, 0, self);
      if (SessionPlacement(table).IsSessionVm()) ++selected;
    }
  }
  EXPECT_LE(selected, kDataCentres * kVms / 3);
}

TEST_F(SessionPlacementOfVms, RelayTargetsOfTheOwnDataCentreComeFirst) {
  MemberTable table(Record("mendoza", 0));
  Fill(table, "mendoza", 1, 13);
  Fill(table, "cordoba", 0, 14);
  const SessionPlacement placement(table);
  const std::vector<VmName> targets = placement.RelayTargets(2, 2);
  ASSERT_GE(targets.size(), 3U);
  EXPECT_TRUE(targets.front().starts_with("mendoza"));
  EXPECT_TRUE(targets.back().starts_with("cordoba"));
  EXPECT_EQ(placement.TotalSessionVmCount(), 4U);
}

TEST_F(SessionPlacementOfVms, SessionVmsOfAllDataCentresAreSorted) {
  MemberTable table(Record("mendoza", 0));
  Fill(table, "mendoza", 1, 13);
  Fill(table, "cordoba", 0, 14);
  const std::vector<VmName> vms = SessionPlacement(table).AllSessionVms();
  EXPECT_EQ(vms.size(), 4U);
  EXPECT_TRUE(std::is_sorted(vms.begin(), vms.end()));
}

TEST_F(SessionPlacementOfVms, VmLeavesAnotherTakesItsPlace) {
  MemberTable table(Record("mendoza", 0));
  Fill(table, "mendoza", 1, 13);
  const SessionPlacement placement(table);
  const VmName first = placement.RelayTargets(1, 0).front();
  VmRecord leaving = table.Find(first)->record;
  leaving.state = VmState::kLeaving;
  table.Merge(leaving, TimePoint{});
  EXPECT_NE(placement.RelayTargets(1, 0).front(), first);
}

}  // namespace
}  // namespace carawayhaven
