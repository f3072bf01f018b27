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

// Guards against an answer that promises too much or that is sent twice.
TEST_F(RelayedStatementsOfASession, LossRepliesPromiseOnlyWhatIsCertain) {
  EXPECT_EQ(statements_.TakeLossReplies(), "");
  statements_.OnCallerBytes("QUERY q1 EXECUTE s1 1\r\n");
  EXPECT_TRUE(statements_.TakeLossReplies().starts_with("ERROR INDOUBT "));
  EXPECT_EQ(statements_.outstanding(), 0U);
  statements_.OnCallerBytes("QUERY q2 BEGIN\r\n");
  statements_.OnReplyEnd(false);
  EXPECT_TRUE(statements_.TakeLossReplies().starts_with("ERROR ABORTED "));
  statements_.OnCallerBytes("QUERY " + std::string(300, 'i') + " COMMIT\r\n");
  EXPECT_TRUE(statements_.TakeLossReplies().starts_with("ERROR INDOUBT "));
}

// Guards against a second error in the same reply.
TEST_F(RelayedStatementsOfASession, LossCompletesAReplyThatHasItsError) {
  statements_.OnCallerBytes("QUERY q1 BEGIN\r\n");
  statements_.OnReplyEnd(false);
  statements_.OnCallerBytes("QUERY q2 READ 1\r\n");
  statements_.OnResult();
  EXPECT_EQ(statements_.TakeLossReplies(), "READY E -\r\n");
  statements_.OnResult();
  EXPECT_EQ(statements_.TakeLossReplies(), "");
}

// Guards against a promise that nothing took effect when the commit of the
// transaction was forwarded as well.
TEST_F(RelayedStatementsOfASession, LossAfterAForwardedCommitPromisesNothing) {
  statements_.OnCallerBytes("QUERY q1 BEGIN\r\n");
  statements_.OnReplyEnd(false);
  statements_.OnCallerBytes("QUERY q2 WRITE 1 x\r\nQUERY q3 COMMIT\r\n");
  EXPECT_EQ(statements_.TakeLossReplies().find("ERROR ABORTED"),
            std::string::npos);
}

// As above, when the whole transaction was forwarded before its first reply.
TEST_F(RelayedStatementsOfASession,
       LossOfAPipelinedTransactionPromisesNothing) {
  statements_.OnCallerBytes(
      "QUERY q1 BEGIN\r\nQUERY q2 WRITE 1 x\r\nQUERY q3 COMMIT\r\n");
  EXPECT_EQ(statements_.TakeLossReplies().find("ERROR ABORTED"),
            std::string::npos);
}

}  // namespace
}  // namespace carawayhaven::platform
