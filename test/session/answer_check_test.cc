#include "core/session/answer_check.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "session/fake_session_link.h"

namespace carawayhaven {
namespace {

EndpointStatement StatementOf(EndpointStatementKind kind) {
  EndpointStatement statement;
  statement.kind = kind;
  return statement;
}

EndpointStatement Read(const std::string& item) {
  EndpointStatement statement = StatementOf(EndpointStatementKind::kCaller);
  statement.id = "id";
  statement.text = "READ " + item;
  return statement;
}

EndpointStatement Write() {
  EndpointStatement statement = StatementOf(EndpointStatementKind::kCaller);
  statement.text = "WRITE 1 a";
  statement.access = AccessMode::kWrite;
  return statement;
}

EndpointStatement Commit() {
  EndpointStatement statement = StatementOf(EndpointStatementKind::kCaller);
  statement.text = "COMMIT";
  statement.commits = true;
  return statement;
}

StatementReply Success(const std::string& signature,
                       std::vector<std::string> rows = {},
                       TransactionState state = TransactionState::kIdle) {
  StatementReply reply = OkReply({1, 5}, state);
  reply.signature = signature;
  reply.rows = std::move(rows);
  return reply;
}

constexpr auto kIdle = TransactionState::kIdle;
constexpr auto kOpen = TransactionState::kOpen;
constexpr auto kFailed = TransactionState::kFailed;

// Guards against a success for which the endpoint gave no proof.
TEST(AnswerOfASignedStatement, SignatureIsMissingItIsAFault) {
  for (const EndpointStatement& statement : {Read("1"), Write()}) {
    EXPECT_EQ(CheckAnswer(statement, kIdle, Success("")),
              AnswerFault::kUnsigned);
    EXPECT_EQ(CheckAnswer(statement, kIdle, Success("s")), AnswerFault::kNone);
  }
  EXPECT_EQ(CheckAnswer(Commit(), kOpen, Success("")), AnswerFault::kUnsigned);
  EXPECT_EQ(CheckAnswer(Commit(), kOpen, Success("s")), AnswerFault::kNone);
}

// Guards against the answer of a caller's statement that is taken for that of
// a statement of the proxy, so that all later answers are assigned wrongly.
TEST(AnswerOfAStatementOfTheProxy, ItHasRowsOrASignatureItIsAFault) {
  for (const auto kind :
       {EndpointStatementKind::kSet, EndpointStatementKind::kReset,
        EndpointStatementKind::kPrepare, EndpointStatementKind::kRollback}) {
    EXPECT_EQ(CheckAnswer(StatementOf(kind), kIdle, Success("s")),
              AnswerFault::kUnexpectedSignature);
    EXPECT_EQ(CheckAnswer(StatementOf(kind), kIdle, Success("", {"row"})),
              AnswerFault::kUnexpectedRows);
    EXPECT_EQ(CheckAnswer(StatementOf(kind), kIdle, Success("")),
              AnswerFault::kNone);
  }
  const EndpointStatement status = StatementOf(EndpointStatementKind::kStatus);
  EXPECT_EQ(CheckAnswer(status, kIdle, Success("")),
            AnswerFault::kUnexpectedRows);
}

// Guards against an answer from before the begin or the end of a transaction.
TEST(AnswerThatStatesATransaction, StatementCannotLeadToItItIsAFault) {
  const EndpointStatement begin = StatementOf(EndpointStatementKind::kBegin);
  EXPECT_EQ(CheckAnswer(begin, kIdle, Success("")),
            AnswerFault::kUnexpectedState);
  EXPECT_EQ(CheckAnswer(begin, kIdle, Success("", {}, kOpen)),
            AnswerFault::kNone);
  EXPECT_EQ(CheckAnswer(Commit(), kOpen, Success("s", {}, kOpen)),
            AnswerFault::kUnexpectedState);
  EXPECT_EQ(CheckAnswer(Read("1"), kIdle, Success("s", {}, kOpen)),
            AnswerFault::kUnexpectedState);
  EXPECT_EQ(CheckAnswer(Read("1"), kOpen, Success("s")),
            AnswerFault::kUnexpectedState);
  EXPECT_EQ(
      CheckAnswer(Read("1"), kIdle, ErrorReply(ReplyCode::kBusy, kFailed)),
      AnswerFault::kUnexpectedState);
  EXPECT_EQ(
      CheckAnswer(Read("1"), kOpen, ErrorReply(ReplyCode::kBusy, kFailed)),
      AnswerFault::kNone);
}

// Guards against an error of another statement that is passed on as a promise
// that nothing ran.
TEST(AnswerWithAnError, StatementCannotHaveItItIsAFault) {
  EndpointStatement read = Read("1");
  EXPECT_EQ(CheckAnswer(read, kIdle, ErrorReply(ReplyCode::kNotPrimary)),
            AnswerFault::kUnexpectedCode);
  EXPECT_EQ(CheckAnswer(read, kIdle, ErrorReply(ReplyCode::kBehind)),
            AnswerFault::kUnexpectedCode);
  read.min_position = LogPosition{1, 1};
  EXPECT_EQ(CheckAnswer(read, kIdle, ErrorReply(ReplyCode::kBehind)),
            AnswerFault::kNone);
  EXPECT_EQ(CheckAnswer(Write(), kIdle, ErrorReply(ReplyCode::kNotPrimary)),
            AnswerFault::kNone);
  for (const auto code :
       {ReplyCode::kWrongEndpoint, ReplyCode::kTooManyConnections,
        ReplyCode::kAborted, ReplyCode::kInDoubt, ReplyCode::kUnknownStatement,
        ReplyCode::kOther}) {
    EXPECT_EQ(CheckAnswer(Write(), kIdle, ErrorReply(code)),
              AnswerFault::kUnexpectedCode)
        << ReplyCodeName(code);
  }
  StatementReply followed = ErrorReply(ReplyCode::kBusy);
  followed.is_followed = true;
  EXPECT_EQ(CheckAnswer(Write(), kIdle, followed), AnswerFault::kUnrequested);
}

class AnswerHistoryOfAConnection : public ::testing::Test {
 protected:
  void Accept(const EndpointStatement& statement, const StatementReply& reply) {
    EXPECT_EQ(history_.Check(statement, reply.state, reply, true),
              AnswerFault::kNone);
    history_.Record(statement, reply, TimePoint());
  }

  AnswerFault Check(const EndpointStatement& statement,
                    const StatementReply& reply,
                    bool rows_are_distinct = true) const {
    return history_.Check(statement, reply.state, reply, rows_are_distinct);
  }

  const std::string row_a_ = "a row of item 1 that is long";
  const std::string row_b_ = "a row of item 2 that is long";
  AnswerHistory history_;
};

// Guards against a second answer that is taken for that of a later statement.
TEST_F(AnswerHistoryOfAConnection, SignatureIsRepeatedItIsAFault) {
  for (std::size_t i = 0; i < AnswerHistory::kSignatures; ++i) {
    Accept(Write(), Success("s" + std::to_string(i)));
  }
  EXPECT_EQ(Check(Write(), Success("s0")), AnswerFault::kRepeatedSignature);
  EXPECT_EQ(Check(Write(), Success("s200")), AnswerFault::kRepeatedSignature);
  EXPECT_EQ(Check(Write(), Success("new")), AnswerFault::kNone);
}

// Guards against a second answer without a signature, which states the end of
// the log as of the first.
TEST_F(AnswerHistoryOfAConnection, PositionGoesBackItIsAFault) {
  StatementReply reply = Success("s");
  reply.position = LogPosition{1, 7};
  Accept(Write(), reply);
  const EndpointStatement set = StatementOf(EndpointStatementKind::kSet);
  EXPECT_EQ(Check(set, Success("")), AnswerFault::kStalePosition);
  reply = Success("");
  reply.position.reset();
  EXPECT_EQ(Check(set, reply), AnswerFault::kNone);
}

// Guards against rows of a second answer that was cut, before those of the
// present one.
TEST_F(AnswerHistoryOfAConnection, RowOfAnotherSubjectComesFirstItIsAFault) {
  Accept(Read("1"), Success("s1", {row_a_}));
  EXPECT_EQ(Check(Read("2"), Success("s2", {row_a_, row_b_})),
            AnswerFault::kRepeatedRow);
  EXPECT_EQ(Check(Read("1"), Success("s2", {row_a_, row_a_})),
            AnswerFault::kRepeatedRow);
  EXPECT_EQ(Check(Read("1"), Success("s2", {row_a_})), AnswerFault::kNone);
  EXPECT_EQ(Check(Read("2"), Success("s2", {row_b_})), AnswerFault::kNone);
  EXPECT_EQ(Check(Read("2"), Success("s2", {row_a_}), false),
            AnswerFault::kNone);
}

TEST_F(AnswerHistoryOfAConnection, StatementsAreAnsweredTheLatestIdsAreKept) {
  for (int i = 0; i < 10; ++i) {
    EndpointStatement write = Write();
    write.id = "id" + std::to_string(i);
    Accept(write, Success("s" + std::to_string(i)));
  }
  const auto ids = history_.RecentIds();
  ASSERT_EQ(ids.size(), AnswerHistory::kRecentStatements);
  EXPECT_EQ(ids.front(), "id2");
  EXPECT_EQ(ids.back(), "id9");
}

}  // namespace
}  // namespace carawayhaven
