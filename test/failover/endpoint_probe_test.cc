#include "core/failover/endpoint_probe.h"

#include <gtest/gtest.h>

#include <string>

#include "session/fake_session_link.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EndpointProbeOfAPrimary : public ::testing::Test {
 protected:
  EndpointProbeOfAPrimary() {
    probe_.Query(now_);
    link_.AcceptAll(now_);
    AnswerBoth({1, 5});
  }

  static EndpointRecord Record() {
    EndpointRecord record;
    record.name = "db";
    record.service = "registro";
    record.address = "10.0.0.1:5000";
    return record;
  }

  static StatementReply StatusReply(LogPosition position) {
    StatementReply reply = OkReply(position);
    reply.rows = {"a status"};
    reply.replication = ReplicationStatus{true, 1, position};
    return reply;
  }

  void AnswerBoth(LogPosition position) {
    link_.Answer("db", StatusReply(position), now_);
    link_.Answer("db", OkReply(position), now_);
  }

  void Query() {
    now_ += milliseconds(100);
    asked_at_ = now_;
    probe_.Query(now_);
  }

  TimePoint now_ = TimePoint(std::chrono::hours(1));
  TimePoint asked_at_;
  FakeSessionLink link_;
  RecordingObserver observer_;
  EndpointProbe probe_{link_, Record(), observer_};
};

TEST_F(EndpointProbeOfAPrimary, QueryIsAnsweredStatusIsAsOfTheQuery) {
  Query();
  AnswerBoth({1, 6});
  ASSERT_NE(probe_.StatusSince(asked_at_), nullptr);
  EXPECT_EQ(probe_.StatusSince(asked_at_)->received, (LogPosition{1, 6}));
  EXPECT_EQ(link_.opened, 1U);
  EXPECT_TRUE(observer_.faults.empty());
}

// Guards against a late second answer to an earlier query: an old status and an
// old position of the primary would count as new.
TEST_F(EndpointProbeOfAPrimary,
       EarlierQueryIsAnsweredTwiceItIsNotTheNewStatus) {
  Query();
  link_.Answer("db", StatusReply({1, 5}), now_);
  EXPECT_EQ(probe_.StatusSince(asked_at_), nullptr);
  link_.Answer("db", StatusReply({1, 6}), now_);
  EXPECT_EQ(probe_.StatusSince(asked_at_), nullptr);
  EXPECT_LT(probe_.position()->as_of, asked_at_);
  EXPECT_EQ(observer_.faults,
            std::vector<AnswerFault>{AnswerFault::kUnexpectedRows});
  EXPECT_TRUE(link_.sessions.empty());
}

// Guards against further wrong answers on the connections of an endpoint that
// answers twice.
TEST_F(EndpointProbeOfAPrimary, AnswerWasFaultyQueriesUseNewConnections) {
  Query();
  link_.Answer("db", OkReply({1, 5}), now_);
  for (std::size_t query = 0; query < 3; ++query) {
    Query();
    link_.AcceptAll(now_);
    AnswerBoth({1, 6});
    EXPECT_NE(probe_.StatusSince(asked_at_), nullptr);
    EXPECT_EQ(link_.opened, 2 + query);
  }
  now_ += EndpointProbe::kFaultMemory;
  Query();
  link_.AcceptAll(now_);
  AnswerBoth({1, 6});
  Query();
  AnswerBoth({1, 7});
  EXPECT_NE(probe_.StatusSince(asked_at_), nullptr);
  EXPECT_EQ(link_.opened, 5U);
}

// Guards against an order to step down that counts as obeyed by the answer to
// an earlier query.
TEST_F(EndpointProbeOfAPrimary, StepDownIsAnsweredByAnOldStatusItIsNotObeyed) {
  StatementReply replica = StatusReply({1, 5});
  replica.replication->is_primary = false;
  now_ += milliseconds(100);
  probe_.StepDown(2, now_);
  link_.Answer("db", replica, now_);
  link_.Answer("db", replica, now_);
  EXPECT_FALSE(probe_.stepped_down());
}

}  // namespace
}  // namespace carawayhaven
