#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/config/team_config.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"
#include "core/group/failure_detector.h"
#include "core/group/group_directory.h"
#include "core/group/promoter.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Connections that open when the test says so, and the commands sent on them.
class RecordingLink : public EndpointLink {
 public:
  struct Sent {
    ConnectionId connection = 0;
    EndpointCommand command;
  };

  ConnectionId Open(std::string_view address, EndpointEvents&) override {
    connections[std::string(address)] = ++last_id_;
    return last_id_;
  }
  bool Send(ConnectionId connection, const EndpointCommand& command) override {
    sent.push_back({connection, command});
    return true;
  }
  void Close(ConnectionId) override {}

  /// The newest connection to each address.
  std::map<std::string, ConnectionId> connections;
  std::vector<Sent> sent;

 private:
  ConnectionId last_id_ = 0;
};

class FailureDetectorOfAPrimary : public testing::Test,
                                  public FailureDetectorHandler {
 protected:
  FailureDetectorOfAPrimary() {
    detector_.Watch("primary", 3, false, now_);
    detector_.Tick(now_);
    detector_.OnConnectionOpened(link_.connections["primary"], now_);
  }

  void OnSuspicionChanged(bool, TimePoint) override {}
  void OnConnectionSilent(TimePoint) override {}
  void OnHigherTermSeen(const EndpointAnswer&, TimePoint) override {
    ++higher_terms_;
  }

  void Answer(CorrelationId correlation, Term term = 3) {
    EndpointAnswer answer;
    answer.correlation = correlation;
    answer.term = term;
    detector_.OnAnswer(1, answer, now_);
  }
  CorrelationId LastProbe() const {
    return link_.sent.back().command.correlation;
  }
  /// Ticks for several time limits of a probe and calls `repeat` each time.
  template <typename Repeat>
  void RunUnanswered(Repeat repeat) {
    const TimePoint end = now_ + seconds(3);
    while (now_ < end) {
      now_ += milliseconds(50);
      detector_.Tick(now_);
      repeat();
    }
  }

  TimePoint now_{seconds(1)};
  int higher_terms_ = 0;
  RecordingLink link_;
  FailureDetector detector_{link_, *this};
};

// Guards against a primary that does not work and counts as working since its
// last answer is repeated.
TEST_F(FailureDetectorOfAPrimary, AnswerIsRepeatedPrimaryIsSuspected) {
  const CorrelationId answered = LastProbe();
  Answer(answered);
  RunUnanswered([&] { Answer(answered); });
  EXPECT_TRUE(detector_.suspected());
}

// As above, with answers to probes that were never sent.
TEST_F(FailureDetectorOfAPrimary, AnswersHaveUnknownIdsPrimaryIsSuspected) {
  RunUnanswered([&] {
    Answer(0);
    Answer(1'000'000);
  });
  EXPECT_TRUE(detector_.suspected());
}

// Guards against a change of the group that nothing but an unrequested answer
// shows.
TEST_F(FailureDetectorOfAPrimary, HigherTermIsUnrequestedItIsNotReported) {
  Answer(1'000'000, 9);
  EXPECT_EQ(higher_terms_, 0);
  Answer(LastProbe(), 9);
  EXPECT_EQ(higher_terms_, 1);
}

class PromoterOfThreeEndpoints : public testing::Test, public PromoterHandler {
 protected:
  PromoterOfThreeEndpoints() {
    service_.name = "s";
    service_.endpoints = {
        {"e0", "0", "dc0"}, {"e1", "1", "dc1"}, {"e2", "2", "dc2"}};
  }

  void OnPromoted(const GroupUpdateMessage&, TimePoint) override {}
  void OnHigherTermSeen(const EndpointAnswer&, TimePoint) override {}
  void OnHoldWrites(TimePoint) override {}
  void OnReleaseWrites(TimePoint) override {}
  bool WritesInFlight() override { return false; }

  /// Answers the last command that was sent to the endpoint.
  void Answer(const std::string& endpoint, EndpointStatus status, Term term) {
    const ConnectionId connection = link_.connections[endpoint];
    CorrelationId correlation = 0;
    for (const RecordingLink::Sent& sent : link_.sent) {
      if (sent.connection == connection) correlation = sent.command.correlation;
    }
    Answer(endpoint, correlation, status, term);
  }
  void Answer(const std::string& endpoint, CorrelationId correlation,
              EndpointStatus status, Term term) {
    EndpointAnswer answer;
    answer.correlation = correlation;
    answer.status = status;
    answer.term = term;
    promoter_.OnAnswer(link_.connections[endpoint], answer, now_);
  }

  ServiceConfig service_;
  TimePoint now_{seconds(1)};
  RecordingLink link_;
  GroupDirectory directory_;
  std::mt19937_64 random_{1};
  Promoter promoter_{service_, "vm", link_, directory_, random_, *this};
};

// Guards against a promotion without a majority of grants: an answer that
// belongs to no command turned a refusal into a grant.
TEST_F(PromoterOfThreeEndpoints, GrantIsUnrequestedRefusalStays) {
  promoter_.StartAttempt(Duration{0}, now_);
  promoter_.Tick(now_);
  ASSERT_EQ(promoter_.state(), "surveying");
  for (const auto& [address, connection] : link_.connections) {
    promoter_.OnConnectionOpened(connection, now_);
  }
  Answer("1", EndpointStatus::kOk, 1);
  Answer("2", EndpointStatus::kOk, 1);
  ASSERT_EQ(promoter_.state(), "verifying");
  Answer("0", EndpointStatus::kNotPrimary, 1);
  ASSERT_EQ(promoter_.state(), "fencing");
  Answer("0", EndpointStatus::kRefused, 2);
  Answer("1", EndpointStatus::kRefused, 2);
  Answer("1", 0, EndpointStatus::kOk, 2);
  Answer("2", EndpointStatus::kOk, 2);
  EXPECT_EQ(promoter_.state(), "backing_off");
}

}  // namespace
}  // namespace carawayhaven
