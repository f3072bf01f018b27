#include "core/failover/failover_records.h"

#include <gtest/gtest.h>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

// Guards against an entry whose fields are read into others: a VM that leaves
// was listed as one that stays.
TEST(VmEntryOfALeavingVm, FormattedAndParsedAllFieldsAreKept) {
  const VmEntry entry{"dc-1", "10.0.0.1:7000", "p", 3, true};
  const VmEntry parsed = ParseVmEntry(FormatRecord(entry));
  EXPECT_EQ(parsed.data_centre, entry.data_centre);
  EXPECT_EQ(parsed.address, entry.address);
  EXPECT_EQ(parsed.process, entry.process);
  EXPECT_EQ(parsed.leadership_losses, entry.leadership_losses);
  EXPECT_EQ(parsed.leaving, entry.leaving);
}

TEST(RecordsOfAnEarlierRelease, ParsedTheyHaveNoEra) {
  EXPECT_FALSE(ParseLeaderRecord(R"({"holder":"vm-1","incarnation":7,)"
                                 R"("resigned":false,"writes":1,)"
                                 R"("unsettled":[]})")
                   .era);
  EXPECT_FALSE(ParsePrimaryRecord(R"({"primary":"db-0","term":1,)"
                                  R"("phase":"serving","writes":1})")
                   .era);
}

TEST(RecordsWithAnEra, FormattedAndParsedTheEraIsKept) {
  const LeaderRecord leader{"vm-1", 7, false, 1, {{"", 9}}, 2};
  EXPECT_EQ(ParseLeaderRecord(FormatRecord(leader)).era, 2U);
  EXPECT_EQ(ParseLeaderRecord(FormatRecord(leader)).active_predecessors,
            leader.active_predecessors);
  const PrimaryRecord primary{"db-0", 1, PrimaryPhase::kStopping, 1, 2};
  EXPECT_EQ(ParsePrimaryRecord(FormatRecord(primary)).era, 2U);
  EXPECT_THROW(ParsePrimaryRecord(R"({"primary":"db-0","term":1,)"
                                  R"("phase":"serving","writes":1,)"
                                  R"("era":"x"})"),
               DecodeError);
}

}  // namespace
}  // namespace carawayhaven
