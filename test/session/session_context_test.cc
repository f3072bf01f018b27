#include "core/session/session_context.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

class SessionContextOnSharedConnection : public ::testing::Test {
 protected:
  void Apply(const std::vector<EndpointStatement>& plan) {
    for (const EndpointStatement& step : plan) ApplySetup(step, connection_);
  }

  SessionContext session_;
  ConnectionContext connection_;
  PreparedStatement prepared_{AccessMode::kRead, "q2c"};
};

TEST_F(SessionContextOnSharedConnection, BothEmptyNothingIsSent) {
  EXPECT_TRUE(PlanSetup(session_, connection_, nullptr).empty());
}

TEST_F(SessionContextOnSharedConnection, ValueIsMissingItIsSetOnce) {
  session_.values["zone"] = "a";
  const auto plan = PlanSetup(session_, connection_, nullptr);
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].kind, EndpointStatementKind::kSet);
  Apply(plan);
  EXPECT_TRUE(PlanSetup(session_, connection_, nullptr).empty());
}

TEST_F(SessionContextOnSharedConnection, ValueOfAnotherSessionIsReset) {
  connection_.values["zone"] = "b";
  connection_.prepared.insert(EndpointStatementName(prepared_));
  const auto plan = PlanSetup(session_, connection_, &prepared_);
  ASSERT_EQ(plan.size(), 2U);
  EXPECT_EQ(plan[0].kind, EndpointStatementKind::kReset);
  EXPECT_EQ(plan[1].kind, EndpointStatementKind::kPrepare);
  Apply(plan);
  EXPECT_TRUE(connection_.values.empty());
}

TEST_F(SessionContextOnSharedConnection, ValueDiffersItIsSetWithoutReset) {
  session_.values["zone"] = "a";
  connection_.values["zone"] = "b";
  const auto plan = PlanSetup(session_, connection_, nullptr);
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].value, "a");
}

TEST_F(SessionContextOnSharedConnection, NamesCollideShapesKeepThemApart) {
  const PreparedStatement other{AccessMode::kRead, "q3"};
  const PreparedStatement write{AccessMode::kWrite, "q2c"};
  EXPECT_NE(EndpointStatementName(prepared_), EndpointStatementName(other));
  EXPECT_NE(EndpointStatementName(prepared_), EndpointStatementName(write));
}

TEST_F(SessionContextOnSharedConnection, ManyShapesConnectionIsResetInTime) {
  for (int i = 0; i < 300; ++i) {
    const PreparedStatement shape{AccessMode::kRead, "q" + std::to_string(i)};
    Apply(PlanSetup(session_, connection_, &shape));
    EXPECT_LE(connection_.prepared.size(), 256U);
  }
}

}  // namespace
}  // namespace carawayhaven
