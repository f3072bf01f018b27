#include "platform/relayed_statements.h"

#include <gtest/gtest.h>

#include <string>

namespace carawayhaven::platform {
namespace {

class RelayedStatementsOfASession : public ::testing::Test {
 protected:
  RelayedStatementsOfASession() { statements_.OnReplyEnd(true); }

  RelayedStatements statements_;
};

// Guards against a session that is closed while a statement runs, or between
// the statements of a transaction.
TEST_F(RelayedStatementsOfASession, OperationRunsUntilItsLastReply) {
  EXPECT_TRUE(statements_.IsBetweenOperations());
  statements_.OnCallerBytes("QUERY q1 BEGIN\r\nQUERY q2 WRITE 1 x\r\n");
  EXPECT_FALSE(statements_.IsBetweenOperations());
  EXPECT_EQ(statements_.outstanding(), 2U);
  EXPECT_EQ(statements_.first_id(), "q1");
  statements_.OnReplyEnd(false);
  EXPECT_EQ(statements_.first_id(), "q2");
  statements_.OnReplyEnd(false);
  EXPECT_EQ(statements_.outstanding(), 0U);
  EXPECT_FALSE(statements_.IsBetweenOperations());
  statements_.OnCallerBytes("QUERY q3 COMMIT\r\n");
  statements_.OnReplyEnd(true);
  EXPECT_TRUE(statements_.IsBetweenOperations());
}

// Guards against a session that is closed after a part of a statement was
// forwarded.
TEST_F(RelayedStatementsOfASession, PartOfAStatementStartsAnOperation) {
  statements_.OnCallerBytes("QUE");
  EXPECT_FALSE(statements_.IsBetweenOperations());
  statements_.OnCallerBytes("RY q1 READ ");
  statements_.OnCallerBytes(std::string(2000, 'x'));
  EXPECT_EQ(statements_.outstanding(), 0U);
  statements_.OnCallerBytes("\r\n");
  EXPECT_EQ(statements_.outstanding(), 1U);
  EXPECT_EQ(statements_.first_id(), "q1");
}

}  // namespace
}  // namespace carawayhaven::platform
