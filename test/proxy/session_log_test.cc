#include "proxy/session_log.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/logging.h"

namespace carawayhaven {
namespace {

using Kind = RoutingDecision::Kind;
using std::chrono::milliseconds;

// A session proxy's log in virtual time. Only one can write at a time.
class LoggedVm {
 public:
  void Route(const std::string& id, Kind kind) {
    StatementJob job;
    job.statement.id = id;
    RoutingDecision decision;
    decision.kind = kind;
    decision.job = &job;
    decision.endpoint = "i-1";
    log_.OnRouting(decision);
  }

  void End(const std::string& id, ReplyCode code = ReplyCode::kOk) {
    CallerStatement statement;
    statement.id = id;
    StatementReply reply;
    reply.code = code;
    if (code == ReplyCode::kOk) reply.signature = "signature of " + id;
    log_.OnStatementEnded(statement, reply, "", milliseconds(5));
  }

  void Fault(std::string_view id) {
    FaultyAnswer answer;
    answer.endpoint = "i-1";
    answer.fault = AnswerFault::kUnsigned;
    answer.phase = ConnectionPhase::kStatement;
    answer.id = id;
    log_.OnFaultyAnswer(answer);
  }

  void Pass(Duration duration) { now_ += duration; }

  std::vector<nlohmann::json> Lines(std::string_view event) const {
    std::vector<nlohmann::json> found;
    std::istringstream lines(out_.str());
    for (std::string line; std::getline(lines, line);) {
      nlohmann::json parsed = nlohmann::json::parse(line);
      if (parsed["event"] == event) found.push_back(std::move(parsed));
    }
    return found;
  }

  std::set<std::string> Ids(std::string_view event) const {
    std::set<std::string> ids;
    for (const nlohmann::json& line : Lines(event)) ids.insert(line["id"]);
    return ids;
  }

  std::string MetricsText() const { return metrics_.FormatPrometheus(); }

 private:
  TimePoint now_{std::chrono::hours(1)};
  Metrics metrics_;
  SessionLog log_{metrics_, [this] { return now_; }};
  std::ostringstream out_;
  LogSink sink_{LogLevel::kInfo, out_};
};

class SessionLogWithFailures : public testing::Test {
 protected:
  void SetUp() override {
    vm_.Pass(milliseconds(1));
    for (int i = 0; i < 1000; ++i) {
      vm_.Route("lost" + std::to_string(i), Kind::kLost);
    }
    for (int i = 0; i < 1000; ++i) {
      vm_.End("lost" + std::to_string(i), ReplyCode::kInDoubt);
    }
    for (int i = 0; i < 100; ++i) {
      vm_.Route("sent" + std::to_string(i), Kind::kSent);
    }
  }

  LoggedVm vm_;
};

// Guards against faulty answers that are missing because of other lines, and
// against a log without a bound when all answers are faulty.
TEST_F(SessionLogWithFailures, FaultyAnswersHaveTheirOwnBound) {
  for (int i = 0; i < 1000; ++i) vm_.Fault("x" + std::to_string(i));
  EXPECT_EQ(vm_.Lines("endpoint_answer_faulty").size(),
            std::size_t{SessionLog::kFaultyAnswerLinesPerSecond});
  EXPECT_THAT(
      vm_.MetricsText(),
      testing::HasSubstr(
          "carawayhaven_faulty_answers_total{fault=\"unsigned\"} 1000"));
}

// Guards against a log that does not say whether failures were left out.
TEST_F(SessionLogWithFailures, SuppressedLinesAreCountedByClass) {
  for (int i = 0; i < 53; ++i) vm_.Fault("");
  vm_.Pass(std::chrono::seconds(1));
  vm_.Route("next", Kind::kSent);
  const std::vector<nlohmann::json> lines = vm_.Lines("log_suppressed");
  ASSERT_EQ(lines.size(), 1U);
  int routine = 100;
  for (const std::string& id : vm_.Ids("statement_routed")) {
    if (id.starts_with("sent")) --routine;
  }
  EXPECT_GT(routine, 0);
  EXPECT_EQ(lines[0].value("routine", -1), routine);
  EXPECT_EQ(lines[0].value("failure", -1),
            2000 - int{SessionLog::kFailureLinesPerSecond});
  EXPECT_EQ(lines[0].value("faulty_answer", -1),
            53 - int{SessionLog::kFaultyAnswerLinesPerSecond});
  EXPECT_THAT(
      vm_.MetricsText(),
      testing::HasSubstr(
          "carawayhaven_log_suppressed_total{class=\"faulty_answer\"} 3"));
}

}  // namespace
}  // namespace carawayhaven
