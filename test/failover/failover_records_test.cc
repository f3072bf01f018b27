#include "core/failover/failover_records.h"

#include <gtest/gtest.h>

#include <string>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

// Guards against an entry whose fields are read into others: a VM that leaves
// was listed as one that stays.
TEST(VmEntryOfALeavingVm, FormattedAndParsedAllFieldsAreKept) {
  const VmEntry entry{"dc-1", "10.0.0.1:7000", "p", 3, true, 500};
  const VmEntry parsed = ParseVmEntry(FormatRecord(entry));
  EXPECT_EQ(parsed.data_centre, entry.data_centre);
  EXPECT_EQ(parsed.address, entry.address);
  EXPECT_EQ(parsed.process, entry.process);
  EXPECT_EQ(parsed.leadership_losses, entry.leadership_losses);
  EXPECT_EQ(parsed.leaving, entry.leaving);
  EXPECT_EQ(parsed.capacity, entry.capacity);
}

TEST(VmEntryOfAnEarlierRelease, ParsedItHasNoCapacity) {
  const VmEntry entry{"dc-1", "10.0.0.1:7000", "p", 3, true};
  EXPECT_FALSE(ParseVmEntry(FormatRecord(entry)).capacity);
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
  const PrimaryRecord primary{"db-0", 1, PrimaryPhase::kPromoting,
                              1,      2, "db-1"};
  EXPECT_EQ(ParsePrimaryRecord(FormatRecord(primary)).era, 2U);
  EXPECT_EQ(ParsePrimaryRecord(FormatRecord(primary)).replaced, "db-1");
  EXPECT_THROW(ParsePrimaryRecord(R"({"primary":"db-0","term":1,)"
                                  R"("phase":"serving","writes":1,)"
                                  R"("era":"x"})"),
               DecodeError);
}

// Guards against a leader that takes replicas which are not named for none.
TEST(PrimaryRecordWithReplicas, FormattedAndParsedTheyAreKept) {
  PrimaryRecord record{"db-0", 1, PrimaryPhase::kPromoting, 1, {}, "db-1"};
  EXPECT_FALSE(ParsePrimaryRecord(FormatRecord(record)).replicas);
  record.replicas.emplace();
  EXPECT_TRUE(ParsePrimaryRecord(FormatRecord(record)).replicas);
  record.replicas = {{"", 0}, {"db-2", 1'796'643'852'123}};
  record.base = LogPosition{3, 44};
  record.chosen_started_ms = 1'796'643'852'124;
  const PrimaryRecord parsed = ParsePrimaryRecord(FormatRecord(record));
  EXPECT_EQ(parsed.replicas, record.replicas);
  EXPECT_EQ(parsed.base, record.base);
  EXPECT_EQ(parsed.chosen_started_ms, record.chosen_started_ms);
}

const std::string kDeep = std::string(500'000, '[') + std::string(500'000, ']');

// Guards against a record of another writer that ends the process, or whose
// numbers wrap to others.
TEST(FailoverRecordsTest, LeaderRecordIsOddItIsRefused) {
  const auto record = [](const std::string& incarnation,
                         const std::string& predecessors) {
    return R"({"holder":"vm-1","resigned":false,"writes":3,"incarnation":)" +
           incarnation + R"(,"unsettled":)" + predecessors + "}";
  };
  EXPECT_EQ(ParseLeaderRecord(record("4", "[]")).incarnation, 4U);
  for (const char* odd : {"-1", "1.5", "1e300", "1e999", "\"4\"", "null",
                          "18446744073709551616"}) {
    EXPECT_THROW(ParseLeaderRecord(record(odd, "[]")), DecodeError) << odd;
  }
  for (const std::string& odd :
       {std::string("[1]"), std::string("[{}]"), std::string("7"),
        std::string(R"([{"holder":"vm-2","incarnation":-1}])"), kDeep}) {
    EXPECT_THROW(ParseLeaderRecord(record("4", odd)), DecodeError)
        << odd.substr(0, 40);
  }
  EXPECT_THROW(ParseLeaderRecord(kDeep), DecodeError);
}

TEST(FailoverRecordsTest, PrimaryRecordIsOddItIsRefused) {
  const auto record = [](const std::string& term) {
    return R"({"primary":"i-1","phase":"serving","writes":3,"term":)" + term +
           "}";
  };
  EXPECT_EQ(ParsePrimaryRecord(record("4")).term, 4U);
  for (const char* odd : {"-1", "1.5", "1e300", "1e999", "[]"}) {
    EXPECT_THROW(ParsePrimaryRecord(record(odd)), DecodeError) << odd;
  }
  for (const std::string& odd :
       {std::string(R"("replicas":7)"), std::string(R"("replicas":[1])"),
        std::string(R"("replicas":[{"name":"db-1"}])"),
        std::string(R"("replicas":[{"name":1,"started_ms":1}])"),
        std::string(R"("base":[])"), std::string(R"("base":{"term":1})"),
        std::string(R"("chosen_started_ms":-1)"), R"("replicas":)" + kDeep}) {
    EXPECT_THROW(ParsePrimaryRecord(record("4," + odd)), DecodeError)
        << odd.substr(0, 40);
  }
  EXPECT_THROW(ParsePrimaryRecord(kDeep), DecodeError);
  EXPECT_THROW(ParseVmEntry(kDeep), DecodeError);
  EXPECT_THROW(ParseVmEntry("null"), DecodeError);
}

}  // namespace
}  // namespace carawayhaven
