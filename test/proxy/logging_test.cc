#include "proxy/logging.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "proxy/state_log.h"

namespace carawayhaven {
namespace {

class LogAtInfo : public testing::Test {
 protected:
  nlohmann::json LastLine() const {
    std::istringstream lines(out_.str());
    std::string line;
    std::string last;
    while (std::getline(lines, line)) last = line;
    return nlohmann::json::parse(last);
  }

  std::ostringstream out_;
  LogSink sink_{LogLevel::kInfo, out_};
};

TEST_F(LogAtInfo, EventBecomesJsonLineWithFields) {
  Log(LogLevel::kWarning, "endpoint_suspected",
      {{"endpoint", "registro-1-mdz"},
       {"term", 3U},
       {"share", 0.5},
       {"fresh", true},
       {"offset", -2}});
  const nlohmann::json line = LastLine();
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["event"], "endpoint_suspected");
  EXPECT_EQ(line["endpoint"], "registro-1-mdz");
  EXPECT_EQ(line["term"], 3);
  EXPECT_EQ(line["share"], 0.5);
  EXPECT_EQ(line["fresh"], true);
  EXPECT_EQ(line["offset"], -2);
  EXPECT_EQ(line["time"].get<std::string>().size(), 24U);
}

TEST_F(LogAtInfo, DebugEventIsNotWritten) {
  Log(LogLevel::kDebug, "detail");
  EXPECT_EQ(out_.str(), "");
}

// Guards against text of a caller that starts a second, forged line, or that is
// not valid UTF-8 and makes the line unreadable.
TEST_F(LogAtInfo, MaliciousTextStaysInsideItsField) {
  Log(LogLevel::kInfo, "refused", {{"text", "a\n{\"event\":\"b\"}\xff"}});
  EXPECT_EQ(LastLine()["event"], "refused");
}

// Guards against a field that replaces the event or the level of its line.
TEST_F(LogAtInfo, FieldWithReservedNameIsRenamed) {
  Log(LogLevel::kInfo, "real", {{"event", "forged"}});
  EXPECT_EQ(LastLine()["event"], "real");
  EXPECT_EQ(LastLine()["event_"], "forged");
}

TEST_F(LogAtInfo, SecretIsReplaced) {
  Log(LogLevel::kInfo, "token", {{"token", Secret("do-not-print")}});
  EXPECT_EQ(LastLine()["token"], "(set)");
}

// Guards against a log that repeats an unchanged state with every probe.
TEST_F(LogAtInfo, StateLogWritesChangesOnly) {
  StateLog states("endpoint_state", "endpoint");
  EXPECT_TRUE(states.Record(LogLevel::kInfo, "a", "up"));
  EXPECT_FALSE(states.Record(LogLevel::kInfo, "a", "up"));
  EXPECT_TRUE(states.Record(LogLevel::kInfo, "b", "up"));
  EXPECT_TRUE(states.Record(LogLevel::kWarning, "a", "down", {{"misses", 3}}));
  EXPECT_EQ(LastLine()["previous"], "up");
  EXPECT_EQ(LastLine()["state"], "down");
  EXPECT_EQ(LastLine()["misses"], 3);
  states.Forget("a");
  EXPECT_TRUE(states.Record(LogLevel::kInfo, "a", "down"));
  EXPECT_FALSE(LastLine().contains("previous"));
}

}  // namespace
}  // namespace carawayhaven
