#include "core/group/group_record.h"

#include <gtest/gtest.h>

#include <string>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

// Guards against numbers of another writer that wrap to other terms.
TEST(GroupRecordTest, NumberIsOddRecordIsRefused) {
  const auto record = [](const std::string& term, const std::string& start) {
    return R"({"term":)" + term + R"(,"primary":"e","term_starts":[[)" + start +
           "]]}";
  };
  EXPECT_EQ(ParseGroupRecord("s", record("4", "4,17")).term, 4U);
  for (const char* odd : {"-1", "1.5", "1e300", "1e999", "\"4\""}) {
    EXPECT_THROW(ParseGroupRecord("s", record(odd, "4,17")), DecodeError);
    EXPECT_THROW(ParseGroupRecord("s", record("4", std::string("4,") + odd)),
                 DecodeError);
  }
  EXPECT_THROW(ParseGroupRecord("s", record("4", "4")), DecodeError);
  EXPECT_THROW(
      ParseGroupRecord("s", std::string(500'000, '[') + std::string(9, ']')),
      DecodeError);
}

}  // namespace
}  // namespace carawayhaven
