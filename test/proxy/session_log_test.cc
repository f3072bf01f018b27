#include "proxy/session_log.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <xxhash.h>

#include <chrono>
#include <cstddef>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <map>
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

  void Answer(const std::string& id) {
    Route(id, Kind::kAnswered);
    End(id);
  }

  void Fault(std::string_view id) {
    FaultyAnswer answer;
    answer.endpoint = "i-1";
    answer.fault = AnswerFault::kUnsigned;
    answer.phase = ConnectionPhase::kStatement;
    answer.id = id;
    log_.OnFaultyAnswer(answer);
  }

  // Sends `count` statements in the next second, evenly, each of which is
  // answered while later ones are sent. Their ids count up from `first` and,
  // after the highest one, from zero.
  void RunSecond(const std::string& prefix, int count, int first = 0) {
    constexpr int kInFlight = 10;
    const auto id = [&](int i) {
      return prefix + std::to_string((first + i) % count);
    };
    for (int i = 0; i < count + kInFlight; ++i) {
      if (i < count) {
        now_ += Duration(std::chrono::seconds(1)) / count;
        Route(id(i), Kind::kSent);
      }
      if (i >= kInFlight) Answer(id(i - kInFlight));
    }
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

class SessionLogUnderLoad : public testing::Test {
 protected:
  void SetUp() override {
    for (int second = 0; second < 5; ++second) {
      vm_.RunSecond("s" + std::to_string(second) + '-', 300);
    }
  }

  LoggedVm vm_;
};

// Guards against a statement that cannot be followed because the log has only
// one of its lines.
TEST_F(SessionLogUnderLoad, StatementHasAllLinesOrNone) {
  const std::set<std::string> sent = vm_.Ids("statement_routed");
  EXPECT_EQ(sent, vm_.Ids("statement_ended"));
  EXPECT_GE(sent.size(), 5U * 8U);
}

// Guards against a log that shows only the start of each second.
TEST_F(SessionLogUnderLoad, StatementsOfTheWholeSecondAreLogged) {
  std::map<int, int> tenths;
  for (const std::string& id : vm_.Ids("statement_routed")) {
    ++tenths[std::stoi(id.substr(id.find('-') + 1)) / 30];
  }
  EXPECT_EQ(tenths.size(), 10U);
}

// Guards against a log whose cost grows with the load.
TEST_F(SessionLogUnderLoad, RoutineLinesStayWithinTheirBudget) {
  const std::size_t before = vm_.Lines("statement_routed").size() +
                             vm_.Lines("statement_ended").size();
  EXPECT_LE(before, 5U * SessionLog::kRoutineLinesPerSecond);
  vm_.Pass(std::chrono::seconds(1));
  vm_.RunSecond("more", 20000);
  vm_.RunSecond("most", 20000);
  const std::size_t after = vm_.Lines("statement_routed").size() +
                            vm_.Lines("statement_ended").size();
  EXPECT_LE(after - before, 2U * SessionLog::kRoutineLinesPerSecond);
  EXPECT_GE(after - before, 1U * SessionLog::kRoutineLinesPerSecond);
}

// Guards against a retried statement whose outcome is not in the log.
TEST_F(SessionLogUnderLoad, EndOfRetriedStatementIsLogged) {
  vm_.Pass(milliseconds(1));
  for (int i = 0; i < 50; ++i) {
    const std::string id = "retried" + std::to_string(i);
    vm_.Route(id, Kind::kRetried);
    vm_.Route(id, Kind::kSent);
    vm_.Answer(id);
  }
  const std::set<std::string> ended = vm_.Ids("statement_ended");
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(ended.contains("retried" + std::to_string(i))) << i;
  }
}

// Guards against a success after a faulty answer that is not in the log.
TEST_F(SessionLogUnderLoad, EndOfStatementWithFaultyAnswerIsLogged) {
  vm_.RunSecond("busy", 300);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "faulty" + std::to_string(i);
    vm_.Fault(id);
    vm_.Answer(id);
  }
  const std::set<std::string> ended = vm_.Ids("statement_ended");
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(ended.contains("faulty" + std::to_string(i))) << i;
  }
}

class SessionLogOfTwoVms : public testing::Test {};

// Guards against VMs that log different statements, so that no statement can be
// followed across them.
TEST_F(SessionLogOfTwoVms, BusierVmLogsNoStatementThatTheOtherLeavesOut) {
  constexpr int kShared = 40;
  std::set<std::string> of_quiet;
  std::set<std::string> of_busy;
  {
    LoggedVm quiet;
    for (int second = 0; second < 20; ++second) {
      quiet.RunSecond(std::to_string(second) + '-', kShared);
    }
    of_quiet = quiet.Ids("statement_ended");
  }
  {
    LoggedVm busy;
    for (int second = 0; second < 20; ++second) {
      // The shared statements come last.
      busy.RunSecond(std::to_string(second) + '-', 10 * kShared, kShared);
    }
    of_busy = busy.Ids("statement_ended");
  }
  int seen_by_both = 0;
  for (const std::string& id : of_busy) {
    // The first two seconds: the load of the second before is not known.
    if (id.starts_with("0-") || id.starts_with("1-")) continue;
    if (std::stoi(id.substr(id.find('-') + 1)) >= kShared) continue;
    ++seen_by_both;
    EXPECT_TRUE(of_quiet.contains(id)) << id;
  }
  EXPECT_GT(seen_by_both, 0);
}

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

// Guards against failures beyond the limit of which the log has one line each.
TEST_F(SessionLogWithFailures, FailedStatementsAreLoggedWithTheirEnd) {
  EXPECT_EQ(vm_.Lines("statement_ended").size(),
            SessionLog::kFailureLinesPerSecond / 2);
  for (const std::string& id : vm_.Ids("statement_ended")) {
    EXPECT_TRUE(vm_.Ids("statement_routed").contains(id)) << id;
  }
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

class SessionLogOfOneStatement : public testing::Test {
 protected:
  LoggedVm vm_;
};

// Guards against a wrong answer that cannot be traced to its endpoint, and
// against an endpoint named for an answer of the proxy itself.
TEST_F(SessionLogOfOneStatement, EndNamesEndpointAndHashOfSignature) {
  vm_.Route("a", Kind::kSent);
  vm_.Answer("a");
  vm_.Route("b", Kind::kSent);
  vm_.End("b", ReplyCode::kInDoubt);
  const std::vector<nlohmann::json> lines = vm_.Lines("statement_ended");
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0].value("endpoint", "?"), "i-1");
  const std::string signature = "signature of a";
  std::ostringstream hash;
  hash << std::hex << std::setw(16) << std::setfill('0')
       << XXH3_64bits(signature.data(), signature.size());
  EXPECT_EQ(lines[0].value("signature_hash", "?"), hash.str());
  EXPECT_EQ(lines[1].value("endpoint", "?"), "");
  EXPECT_EQ(lines[1].value("signature_hash", "?"), "");
}

class OperationsPage : public testing::Test {};

// Guards against a fault or phase in the log that no page explains.
TEST_F(OperationsPage, NamesEachFaultAndPhase) {
  std::ifstream file("docs/OPERATIONS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  for (auto fault = AnswerFault::kMalformed; fault <= AnswerFault::kJoinedRows;
       fault = static_cast<AnswerFault>(static_cast<int>(fault) + 1)) {
    EXPECT_THAT(page, testing::HasSubstr(
                          "| `" + std::string(AnswerFaultName(fault)) + '`'));
  }
  for (auto phase = ConnectionPhase::kOpening;
       phase <= ConnectionPhase::kConfirmation;
       phase = static_cast<ConnectionPhase>(static_cast<int>(phase) + 1)) {
    EXPECT_THAT(page,
                testing::HasSubstr(
                    "| `" + std::string(ConnectionPhaseName(phase)) + '`'));
  }
}

}  // namespace
}  // namespace carawayhaven
