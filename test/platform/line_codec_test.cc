#include "platform/line_codec.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace carawayhaven::platform {
namespace {

CallerStatement Statement(std::string_view line) {
  const CallerLine decoded = DecodeCallerLine(line);
  const auto* statement = std::get_if<CallerStatement>(&decoded);
  return statement == nullptr ? CallerStatement{} : *statement;
}

class LineCodecOfCallers : public ::testing::Test {};

TEST_F(LineCodecOfCallers, ConnectNamesTheDatabase) {
  const CallerLine decoded = DecodeCallerLine("CONNECT lepu270 u3f1");
  const auto* connect = std::get_if<ConnectLine>(&decoded);
  ASSERT_NE(connect, nullptr);
  EXPECT_EQ(connect->database, "lepu270");
}

TEST_F(LineCodecOfCallers, EachStatementHasItsKind) {
  EXPECT_EQ(Statement("QUERY a BEGIN").kind, StatementKind::kBegin);
  EXPECT_EQ(Statement("QUERY a BEGIN READ").kind,
            StatementKind::kBeginReadOnly);
  EXPECT_EQ(Statement("QUERY a COMMIT").kind, StatementKind::kCommit);
  EXPECT_EQ(Statement("QUERY a ROLLBACK").kind, StatementKind::kRollback);
  EXPECT_EQ(Statement("QUERY a READ 1a4").kind, StatementKind::kRead);
  EXPECT_EQ(Statement("QUERY a WRITE 1a4 x y").kind, StatementKind::kWrite);
  EXPECT_EQ(Statement("QUERY a SET zone b c").value, "b c");
  EXPECT_EQ(Statement("QUERY a RELEASE s1").kind, StatementKind::kDeallocate);
}

TEST_F(LineCodecOfCallers, PreparedStatementKeepsShapeAndArguments) {
  const CallerStatement prepare = Statement("QUERY a PREPARE s1 WRITE q2c");
  EXPECT_EQ(prepare.kind, StatementKind::kPrepare);
  EXPECT_EQ(prepare.access, AccessMode::kWrite);
  EXPECT_EQ(prepare.value, "q2c");
  const CallerStatement execute = Statement("QUERY a EXECUTE s1 1a4 data");
  EXPECT_EQ(execute.name, "s1");
  EXPECT_EQ(execute.value, "1a4 data");
}

TEST_F(LineCodecOfCallers, StatementsAndIdsReservedForTheProxyAreMalformed) {
  for (const char* line :
       {"QUERY a AFTER 1.1 READ x", "QUERY a STATUS", "QUERY a RESET",
        "QUERY a STEPDOWN 9", "QUERY - READ x", "QUERY  READ x", "QUERY a READ",
        "QUERY a", "QUERY a BEGIN WRITE", "QUERY a PREPARE s1 BOTH q"}) {
    EXPECT_EQ(Statement(line).kind, StatementKind::kMalformed) << line;
  }
}

TEST_F(LineCodecOfCallers, EmbeddedLineEndsAreNotForwarded) {
  EXPECT_TRUE(std::holds_alternative<MalformedLine>(
      DecodeCallerLine("QUERY a READ x\rQUERY b WRITE y z")));
  LineReader reader;
  ASSERT_TRUE(reader.Append("QUERY a READ x\nQUERY b WRITE y z\r\n"));
  const auto first = reader.Next();
  ASSERT_TRUE(first.has_value());
  EXPECT_TRUE(std::holds_alternative<MalformedLine>(DecodeCallerLine(*first)));
}

TEST_F(LineCodecOfCallers, AnswerHasRowsThenEndThenState) {
  StatementReply reply;
  reply.rows = {"one", "two"};
  reply.signature = "7.1f3";
  EXPECT_EQ(EncodeReply(reply),
            "DATAROW one\r\nDATAROW two\r\nCOMPLETE 7.1f3\r\nREADY I -\r\n");
  reply = {};
  reply.code = ReplyCode::kInDoubt;
  reply.message = "no answer";
  reply.state = TransactionState::kFailed;
  EXPECT_EQ(EncodeReply(reply), "ERROR INDOUBT no answer\r\nREADY E -\r\n");
}

TEST_F(LineCodecOfCallers, EndOfAnswerOutsideTransactionIsRecognised) {
  EXPECT_EQ(ClassifyRelayedLine("READY I -"), RelayedLine::kReadyIdle);
  EXPECT_EQ(ClassifyRelayedLine("READY T -"), RelayedLine::kReady);
  EXPECT_EQ(ClassifyRelayedLine("READY E -"), RelayedLine::kReady);
  EXPECT_EQ(ClassifyRelayedLine("COMPLETE -"), RelayedLine::kResult);
  EXPECT_EQ(ClassifyRelayedLine("DATAROW READY I"), RelayedLine::kOther);
}

// Guards against a row that is taken for a request to close the session, and
// against a caller that opens a session as if it were relayed.
TEST_F(LineCodecOfCallers, CloseRequestIsOnlyUnderstoodOnRelayedSessions) {
  const std::string request = EncodeCloseRequest();
  ASSERT_TRUE(request.ends_with("\r\n"));
  EXPECT_EQ(ClassifyRelayedLine(request.substr(0, request.size() - 2)),
            RelayedLine::kCloseRequest);
  EXPECT_EQ(ClassifyRelayedLine("DATAROW CLOSE"), RelayedLine::kOther);
  std::string relayed = EncodeRelayedConnect("CONNECT packs u1");
  ASSERT_TRUE(relayed.ends_with("\r\n"));
  relayed.resize(relayed.size() - 2);
  const CallerLine decoded = DecodeCallerLine(relayed);
  const auto* connect = std::get_if<ConnectLine>(&decoded);
  ASSERT_NE(connect, nullptr);
  EXPECT_EQ(connect->database, "packs");
  EXPECT_TRUE(connect->accepts_close_request);
  const CallerLine direct = DecodeCallerLine("CONNECT packs u1");
  EXPECT_FALSE(std::get<ConnectLine>(direct).accepts_close_request);
}

class LineCodecOfEndpoints : public ::testing::Test {
 protected:
  LineCodecOfEndpoints() { Read({"READY I -"}); }

  std::optional<StatementReply> Read(std::initializer_list<const char*> lines) {
    std::optional<StatementReply> reply;
    for (const char* line : lines) {
      AnswerFault fault = AnswerFault::kNone;
      reply = reader_.Add(line, &fault);
      EXPECT_EQ(fault, AnswerFault::kNone) << line;
    }
    return reply;
  }

  /// Returns the fault that a reader of its own finds in the lines, which
  /// follow the acceptance of the session.
  static AnswerFault FaultIn(std::initializer_list<const char*> lines) {
    ReplyReader reader;
    AnswerFault fault = AnswerFault::kNone;
    reader.Add("READY I 1.0", &fault);
    for (const char* line : lines) {
      reader.Add(line, &fault);
      if (fault != AnswerFault::kNone) break;
    }
    return fault;
  }

  ReplyReader reader_;
};

// Guards against a reply that is put together from parts of two, or accepted
// without one of its lines.
TEST_F(LineCodecOfEndpoints, LinesAreMissingOrRepeatedReplyIsIncomplete) {
  EXPECT_EQ(FaultIn({"READY I 1.0"}), AnswerFault::kIncomplete);
  EXPECT_EQ(FaultIn({"DATAROW a", "READY I 1.0"}), AnswerFault::kIncomplete);
  EXPECT_EQ(FaultIn({"COMPLETE s", "COMPLETE t"}), AnswerFault::kIncomplete);
  EXPECT_EQ(FaultIn({"COMPLETE s", "DATAROW a"}), AnswerFault::kIncomplete);
  EXPECT_EQ(FaultIn({"ERROR BUSY -", "COMPLETE s"}), AnswerFault::kIncomplete);
  EXPECT_EQ(FaultIn({"COMPLETE s", "READY I 1.0", "READY I 1.0"}),
            AnswerFault::kIncomplete);
}

// Guards against a line that was cut, or that contains two.
TEST_F(LineCodecOfEndpoints, LineIsNotWholeItIsMalformed) {
  for (const char* line :
       {"COMPLETE s\n", "COMPLETE s\rREADY I 1.0", "COMPLETE sREADY I 1.0",
        "COMPLETE ", "COMPLETE", "ERROR", "ERROR ", "DATAROW a\n", "DATA a",
        "CLOSE", "", "ERROR BUSY -COMPLETE s", "ERROR BUSY READY I 1.0"}) {
    EXPECT_EQ(FaultIn({line}), AnswerFault::kMalformed) << line;
  }
  for (const char* line :
       {"READY", "READY ", "READY I", "READY I ", "READY I 1", "READY I 1.",
        "READY I 1.0 ", "READY X 1.0", "READY I 1.0DATAROW a"}) {
    EXPECT_EQ(FaultIn({"COMPLETE s", line}), AnswerFault::kMalformed) << line;
  }
}

TEST_F(LineCodecOfEndpoints, RowContainsTheStartOfARowItIsMarked) {
  const auto reply = Read({"DATAROW aDATAROW b", "COMPLETE s", "READY I 1.0"});
  ASSERT_TRUE(reply.has_value());
  EXPECT_TRUE(reply->has_joined_rows);
}

TEST_F(LineCodecOfEndpoints, SessionIsRefusedTheCodeIsPending) {
  ReplyReader reader;
  AnswerFault fault = AnswerFault::kNone;
  EXPECT_EQ(reader.Add("ERROR OVERLOAD -", &fault), std::nullopt);
  EXPECT_EQ(fault, AnswerFault::kNone);
  EXPECT_EQ(reader.pending_code(), ReplyCode::kTooManyConnections);
}

TEST_F(LineCodecOfEndpoints, StatementsKeepTextAndIdPositionGoesBefore) {
  EndpointStatement statement;
  statement.kind = EndpointStatementKind::kCaller;
  statement.id = "5c0e";
  statement.text = "READ 1a4";
  statement.min_position = LogPosition{3, 1207};
  EXPECT_EQ(EncodeStatement(statement), "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
  EndpointStatement own;
  own.kind = EndpointStatementKind::kSet;
  own.name = "zone";
  own.value = "a b";
  EXPECT_EQ(EncodeStatement(own), "QUERY - SET zone a b\r\n");
}

TEST_F(LineCodecOfEndpoints, SuccessCarriesRowsSignatureAndPosition) {
  const auto reply =
      Read({"DATAROW qhz kw", "COMPLETE 7.1f3.c", "READY T 3.1209"});
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->rows, std::vector<std::string>{"qhz kw"});
  EXPECT_EQ(reply->signature, "7.1f3.c");
  EXPECT_EQ(reply->state, TransactionState::kOpen);
  EXPECT_EQ(reply->position, (LogPosition{3, 1209}));
}

TEST_F(LineCodecOfEndpoints, UnknownCodeDoesNotMeanNotRun) {
  const auto reply = Read({"ERROR STRANGE text", "READY I -"});
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->code, ReplyCode::kOther);
  EXPECT_FALSE(GuaranteesNotRun(reply->code));
  EXPECT_EQ(reply->position, std::nullopt);
}

TEST_F(LineCodecOfEndpoints, ReplicationRowIsRead) {
  const auto status = DecodeReplication("replica 3 3.1209 0 12 2 17");
  ASSERT_TRUE(status.has_value());
  EXPECT_FALSE(status->is_primary);
  EXPECT_EQ(status->term, 3U);
  EXPECT_EQ(status->received, (LogPosition{3, 1209}));
  EXPECT_EQ(DecodeReplication("leader 3 3.1 0 0 0 0"), std::nullopt);
  EXPECT_EQ(DecodeReplication("replica x"), std::nullopt);
  EXPECT_EQ(DecodeReplication("replica 3 3.12"), std::nullopt);
  EXPECT_EQ(DecodeReplication("replica 3 3.1209 0 12 2"), std::nullopt);
}

// Random bytes must be rejected without a crash, and no line end inside a
// statement may be forwarded.
TEST(LineCodecWithRandomBytes, RandomLinesKeepNoLineEndInside) {
  std::mt19937_64 random(1);
  const std::string alphabet = "QUERYCONET READWIS\r\n -.0a\x80\xff";
  for (int round = 0; round < 2000; ++round) {
    std::string bytes;
    for (int i = 0; i < 120; ++i) {
      bytes += alphabet[random() % alphabet.size()];
    }
    LineReader reader;
    ASSERT_TRUE(reader.Append(bytes));
    ReplyReader replies;
    while (const auto line = reader.Next()) {
      const CallerLine decoded = DecodeCallerLine(*line);
      if (const auto* statement = std::get_if<CallerStatement>(&decoded)) {
        EXPECT_EQ(statement->text.find('\n'), std::string::npos);
        EXPECT_EQ(statement->id.find('\n'), std::string::npos);
      }
      AnswerFault fault = AnswerFault::kNone;
      replies.Add(*line, &fault);
      if (fault != AnswerFault::kNone) replies = ReplyReader();
    }
  }
}

TEST(LineReaderOfHalfSentLines, LineWithoutEndIsBounded) {
  LineReader reader;
  const std::string part(512 * 1024, 'x');
  EXPECT_TRUE(reader.Append(part));
  EXPECT_TRUE(reader.Append(part));
  EXPECT_FALSE(reader.Append(part));
}

}  // namespace
}  // namespace carawayhaven::platform
