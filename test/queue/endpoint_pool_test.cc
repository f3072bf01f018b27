#include "core/queue/endpoint_pool.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "queue/fake_endpoint.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CountAnswers : public EndpointPoolHandler {
 public:
  void OnEndpointAnswer(const EndpointName&, const EndpointAnswer&,
                        TimePoint) override {
    ++answers;
  }

  int answers = 0;
};

class EndpointPoolTest : public testing::Test {
 protected:
  EndpointPoolTest() : EndpointPoolTest(20) {}

  explicit EndpointPoolTest(std::uint32_t connections) {
    EndpointPoolOptions options;
    options.endpoint = "e";
    options.connections = connections;
    pool_ = std::make_unique<EndpointPool>(options, link_, handler_);
    pool_->Tick(now_);
    link_.FinishOpening(*pool_, now_);
  }

  static Request Read() {
    Request request;
    request.service = "s";
    request.team = "t";
    request.statement = "select";
    request.max_age = seconds(1);
    return request;
  }

  static Request Write() {
    Request request = Read();
    request.access = AccessMode::kWrite;
    request.max_age.reset();
    return request;
  }

  static Request InTransaction(RequestKind kind, const std::string& id) {
    Request request = Write();
    request.kind = kind;
    request.transaction = id;
    return request;
  }

  // Returns the index of the outcome in `outcomes_`.
  std::size_t Submit(Request request, Duration time_left = seconds(60)) {
    request.deadline = now_ + time_left;
    const std::size_t index = outcomes_.size();
    outcomes_.emplace_back();
    pool_->Submit(
        std::move(request), 1,
        [this, index](const Outcome& o) { outcomes_[index].push_back(o); },
        now_);
    return index;
  }

  void AnswerLast(EndpointStatus status = EndpointStatus::kOk) {
    FakeEndpoint::Answer(*pool_, link_.sent.back(), now_, status);
  }

  // Runs enough reads that their statement is known to be short, so that the
  // limit for work of unknown cost does not apply to it.
  void MakeReadsKnownShort() {
    for (int i = 0; i < 30; ++i) {
      Submit(Read());
      now_ += milliseconds(1);
      AnswerLast();
    }
    link_.sent.clear();
  }

  void Begin(const std::string& id) {
    Submit(InTransaction(RequestKind::kBegin, id));
    AnswerLast();
  }

  // Advances the time and calls Tick at each time that NextTick returns.
  // Heartbeats are answered unless `silent` is set.
  void Advance(Duration duration, bool silent = false) {
    const TimePoint end = now_ + duration;
    while (pool_->NextTick() <= end) {
      ASSERT_GE(pool_->NextTick(), now_) << "a timer in the past never ends";
      now_ = pool_->NextTick();
      const std::size_t before = link_.sent.size();
      pool_->Tick(now_);
      for (std::size_t i = before; i < link_.sent.size() && !silent; ++i) {
        if (link_.sent[i].command.operation == EndpointOperation::kStatus) {
          FakeEndpoint::Answer(*pool_, FakeEndpoint::Sent(link_.sent[i]), now_);
        }
      }
    }
    now_ = end;
  }

  void ExpectOutcome(std::size_t index, Verdict verdict, Reason reason) {
    ASSERT_EQ(outcomes_[index].size(), 1U);
    EXPECT_EQ(VerdictName(outcomes_[index][0].verdict), VerdictName(verdict));
    EXPECT_EQ(ReasonName(outcomes_[index][0].reason), ReasonName(reason));
  }

  TimePoint now_{seconds(1)};
  FakeEndpoint link_;
  CountAnswers handler_;
  std::unique_ptr<EndpointPool> pool_;
  std::vector<std::vector<Outcome>> outcomes_;
};

// Guards against more outstanding statements than the endpoint has slots.
TEST_F(EndpointPoolTest, MoreRequestsThanSlotsOnlySlotsAreOutstanding) {
  MakeReadsKnownShort();
  for (int i = 0; i < 10; ++i) Submit(Read());
  EXPECT_EQ(link_.SentOf(EndpointOperation::kExecute).size(), 3U);
  AnswerLast();
  EXPECT_EQ(link_.SentOf(EndpointOperation::kExecute).size(), 4U);
}

// Guards against reporting kNotRun for a statement that was sent.
TEST_F(EndpointPoolTest, ConnectionLostAfterSendMayHaveRun) {
  const auto write = Submit(Write());
  link_.Lose(link_.sent.back().connection, *pool_, now_);
  ExpectOutcome(write, Verdict::kMayHaveRun, Reason::kConnectionLost);
}

// Guards against a slot that is never freed, and against one that is freed
// while its statement may still run.
TEST_F(EndpointPoolTest, AnswerAfterDeadlineFreesSlotAndEndsNothingTwice) {
  const auto write = Submit(Write(), milliseconds(50));
  const FakeEndpoint::Sent sent = link_.sent.back();
  Advance(milliseconds(60));
  ExpectOutcome(write, Verdict::kMayHaveRun, Reason::kDeadline);
  EXPECT_EQ(pool_->stats().running, 1U);
  FakeEndpoint::Answer(*pool_, sent, now_);
  FakeEndpoint::Answer(*pool_, sent, now_);
  EXPECT_EQ(outcomes_[write].size(), 1U);
  EXPECT_EQ(pool_->stats().running, 0U);
  EXPECT_EQ(pool_->stats().stray_answers, 1U);
}

// Guards against a silent connection that occupies its slot for ever.
TEST_F(EndpointPoolTest, NoAnswerAtAllConnectionIsClosedAndReplaced) {
  Submit(Write(), milliseconds(50));
  const ConnectionId silent = link_.sent.back().connection;
  Advance(milliseconds(400));
  EXPECT_TRUE(link_.closed.contains(silent));
  EXPECT_EQ(link_.opening.size(), 1U);
  EXPECT_EQ(pool_->stats().running, 0U);
}

// Guards against delivering an answer to the wrong request.
TEST_F(EndpointPoolTest, ForeignCorrelationIsDropped) {
  const auto read = Submit(Read());
  FakeEndpoint::Sent foreign = link_.sent.back();
  foreign.command.correlation += 100;
  FakeEndpoint::Answer(*pool_, foreign, now_);
  EXPECT_TRUE(outcomes_[read].empty());
}

// Guards against a position or a state of the endpoint that is taken from an
// answer to no command.
TEST_F(EndpointPoolTest, AnswerIsUnrequestedItIsNotReported) {
  Submit(Read());
  const FakeEndpoint::Sent read = link_.sent.back();
  FakeEndpoint::Sent foreign = read;
  foreign.command.correlation += 100;
  FakeEndpoint::Answer(*pool_, foreign, now_);
  EXPECT_EQ(handler_.answers, 0);
  FakeEndpoint::Answer(*pool_, read, now_);
  EXPECT_EQ(handler_.answers, 1);
  FakeEndpoint::Answer(*pool_, read, now_);
  EXPECT_EQ(handler_.answers, 1);
  EXPECT_EQ(pool_->stats().stray_answers, 2U);
}

// Guards against acknowledging a write because of a confirm that was sent
// before the write ran.
TEST_F(EndpointPoolTest, WriteEndsOnlyByConfirmThatBeganAfterItRan) {
  const auto first = Submit(Write());
  AnswerLast();
  link_.FinishOpening(*pool_, now_);
  const FakeEndpoint::Sent confirm = link_.sent.back();
  ASSERT_EQ(confirm.command.operation, EndpointOperation::kConfirm);
  const auto second = Submit(Write());
  AnswerLast();
  FakeEndpoint::Answer(*pool_, confirm, now_);
  ExpectOutcome(first, Verdict::kRan, Reason::kNone);
  EXPECT_TRUE(outcomes_[second].empty());
  AnswerLast();
  ExpectOutcome(second, Verdict::kRan, Reason::kNone);
}

// Guards against ending writes as kMayHaveRun when only the confirm connection
// was lost.
TEST_F(EndpointPoolTest, ConfirmConnectionLostWriteWaitsForNewOne) {
  const auto write = Submit(Write());
  AnswerLast();
  link_.FinishOpening(*pool_, now_);
  link_.Lose(link_.sent.back().connection, *pool_, now_);
  EXPECT_TRUE(outcomes_[write].empty());
  link_.FinishOpening(*pool_, now_);
  AnswerLast();
  ExpectOutcome(write, Verdict::kRan, Reason::kNone);
}

// Guards against a write that waits for a confirm on a silent connection.
TEST_F(EndpointPoolTest, ConfirmConnectionSilentIsReplaced) {
  const auto write = Submit(Write());
  AnswerLast();
  link_.FinishOpening(*pool_, now_);
  const ConnectionId silent = link_.sent.back().connection;
  Advance(milliseconds(510), true);
  EXPECT_TRUE(link_.closed.contains(silent));
  link_.FinishOpening(*pool_, now_);
  FakeEndpoint::Answer(*pool_, link_.sent.back(), now_);
  ExpectOutcome(write, Verdict::kRan, Reason::kNone);
}

// Guards against an acknowledgement by a primary that has been replaced.
TEST_F(EndpointPoolTest, TermRisesBeforeConfirmWriteMayHaveRun) {
  const auto write = Submit(Write());
  AnswerLast();
  pool_->SetTerm(2);
  ExpectOutcome(write, Verdict::kMayHaveRun, Reason::kStaleTerm);
}

TEST_F(EndpointPoolTest, StaleTermConfirmWriteMayHaveRun) {
  const auto write = Submit(Write());
  AnswerLast();
  link_.FinishOpening(*pool_, now_);
  AnswerLast(EndpointStatus::kStaleTerm);
  ExpectOutcome(write, Verdict::kMayHaveRun, Reason::kStaleTerm);
}

// Guards against reporting kNotRun for a commit whose first copy has run.
TEST_F(EndpointPoolTest, CommitOfUnknownTransactionMayHaveRun) {
  const auto commit = Submit(InTransaction(RequestKind::kCommit, "x"));
  ExpectOutcome(commit, Verdict::kMayHaveRun, Reason::kUnknownTransaction);
  const auto statement = Submit(InTransaction(RequestKind::kStatement, "x"));
  ExpectOutcome(statement, Verdict::kNotRun, Reason::kUnknownTransaction);
}

// Guards against statements of two transactions on one connection.
TEST_F(EndpointPoolTest, TransactionKeepsItsConnectionUntilCommitAnswered) {
  MakeReadsKnownShort();
  Begin("a");
  const ConnectionId own_connection = link_.sent.back().connection;
  for (int i = 0; i < 9; ++i) Submit(Read());
  for (const auto& sent : link_.SentOf(EndpointOperation::kExecute)) {
    EXPECT_NE(sent.connection, own_connection);
  }
  EXPECT_EQ(pool_->stats().running, 3U);
  AnswerLast();
  AnswerLast();
  AnswerLast();
  EXPECT_EQ(pool_->stats().open_transactions, 1U);
  Submit(InTransaction(RequestKind::kCommit, "a"));
  while (pool_->stats().open_transactions > 0) AnswerLast();
  EXPECT_EQ(link_.SentOf(EndpointOperation::kCommit).at(0).connection,
            own_connection);
}

TEST_F(EndpointPoolTest, TransactionStatementUnansweredAtDeadlineIsRolledBack) {
  Begin("a");
  auto statement = InTransaction(RequestKind::kStatement, "a");
  const auto index = Submit(statement, milliseconds(50));
  const ConnectionId own_connection = link_.sent.back().connection;
  Advance(milliseconds(50));
  EXPECT_TRUE(link_.closed.contains(own_connection));
  ExpectOutcome(index, Verdict::kNotRun, Reason::kDeadline);
}

class EndpointPoolWithFewConnections : public EndpointPoolTest {
 protected:
  // Leaves three connections for statements: four are reserved and one belongs
  // to the confirmation tracker.
  EndpointPoolWithFewConnections() : EndpointPoolTest(8) {}
};

// Guards against reclaiming transactions without need, or more of them than the
// waiting requests need.
TEST_F(EndpointPoolWithFewConnections,
       OneRequestWaitsOnlyOldestIdleIsReclaimed) {
  Begin("a");
  const ConnectionId oldest = link_.sent.back().connection;
  Advance(milliseconds(10));
  Begin("b");
  Begin("c");
  Advance(seconds(5));
  EXPECT_EQ(pool_->stats().open_transactions, 3U);
  const auto read = Submit(Read());
  EXPECT_TRUE(link_.closed.contains(oldest));
  EXPECT_EQ(pool_->stats().open_transactions, 2U);
  link_.FinishOpening(*pool_, now_);
  AnswerLast();
  ExpectOutcome(read, Verdict::kRan, Reason::kNone);
}

TEST_F(EndpointPoolWithFewConnections, DemandWithinGraceNothingIsReclaimed) {
  Begin("a");
  Begin("b");
  Begin("c");
  Submit(Read());
  Advance(milliseconds(1900));
  EXPECT_EQ(pool_->stats().open_transactions, 3U);
  Advance(milliseconds(200));
  EXPECT_EQ(pool_->stats().open_transactions, 2U);
}

TEST_F(EndpointPoolTest, TransactionIdleForLimitIsClosed) {
  Begin("a");
  Advance(seconds(31));
  EXPECT_EQ(pool_->stats().open_transactions, 0U);
}

TEST_F(EndpointPoolTest, DrainLeavesTransactionItsTimeThenEndsIt) {
  Begin("a");
  pool_->Drain(now_);
  ExpectOutcome(Submit(Read()), Verdict::kNotRun, Reason::kLeaving);
  Advance(seconds(9));
  EXPECT_FALSE(pool_->idle());
  const auto late = Submit(InTransaction(RequestKind::kStatement, "a"));
  Advance(seconds(2));
  ExpectOutcome(late, Verdict::kNotRun, Reason::kLeaving);
  EXPECT_TRUE(pool_->idle());
}

// Guards against sending a new statement on a connection that has become
// silent.
TEST_F(EndpointPoolTest, HeartbeatUnansweredIdleConnectionsAreReplaced) {
  const std::set<ConnectionId> before = link_.open;
  Advance(milliseconds(2300), true);
  EXPECT_EQ(link_.closed, before);
  EXPECT_EQ(link_.opening.size(), before.size());
}

TEST_F(EndpointPoolTest, HeartbeatAnsweredConnectionsStay) {
  Advance(seconds(20));
  EXPECT_TRUE(link_.closed.empty());
}

// Guards against stale data from a primary that was replaced without noticing
// and therefore reports the age 0.
TEST_F(EndpointPoolTest, ReplacedPrimaryAnswersReadWithAgeIsBehind) {
  pool_->SetTerm(2);
  const auto read = Submit(Read());
  EndpointAnswer answer;
  answer.correlation = link_.sent.back().command.correlation;
  answer.term = 1;
  answer.role = EndpointRole::kPrimary;
  pool_->OnAnswer(link_.sent.back().connection, answer, now_);
  ExpectOutcome(read, Verdict::kNotRun, Reason::kBehind);
}

class EndpointPoolWithTransactionEnd
    : public EndpointPoolTest,
      public testing::WithParamInterface<RequestKind> {};

// Guards against running other statements on a connection whose transaction may
// still be open at the endpoint.
TEST_P(EndpointPoolWithTransactionEnd, EndFailsConnectionIsClosed) {
  Begin("t");
  const ConnectionId connection = link_.sent.back().connection;
  Submit(InTransaction(GetParam(), "t"));
  AnswerLast(EndpointStatus::kError);
  EXPECT_TRUE(link_.closed.contains(connection));
}

INSTANTIATE_TEST_SUITE_P(Ends, EndpointPoolWithTransactionEnd,
                         testing::Values(RequestKind::kCommit,
                                         RequestKind::kRollback));

// Guards against a statement on a silent connection that waits until its
// deadline although the connection is already suspected.
TEST_F(EndpointPoolTest, ConnectionsAreSuspectedSilentStatementIsGivenUp) {
  MakeReadsKnownShort();
  const auto read = Submit(Read());
  const ConnectionId silent = link_.sent.back().connection;
  Advance(milliseconds(100), true);
  pool_->SuspectConnections(now_);
  Advance(milliseconds(300), true);
  ExpectOutcome(read, Verdict::kMayHaveRun, Reason::kConnectionLost);
  EXPECT_TRUE(link_.closed.contains(silent));
}

// Guards against giving up a long statement because other connections are
// silent.
TEST_F(EndpointPoolTest, ConnectionsAreSuspectedKnownLongStatementGoesOn) {
  for (int i = 0; i < 30; ++i) {
    Submit(Read());
    const FakeEndpoint::Sent sent = link_.sent.back();
    Advance(milliseconds(400));
    FakeEndpoint::Answer(*pool_, sent, now_);
  }
  const auto read = Submit(Read());
  const FakeEndpoint::Sent sent = link_.sent.back();
  pool_->SuspectConnections(now_);
  Advance(milliseconds(1000));
  FakeEndpoint::Answer(*pool_, sent, now_);
  ExpectOutcome(read, Verdict::kRan, Reason::kNone);
}

// Guards against sending new statements on free connections that are silent as
// well.
TEST_F(EndpointPoolTest, ConnectionsAreSuspectedFreeOnesAreProbedAtOnce) {
  const std::set<ConnectionId> before = link_.open;
  pool_->SuspectConnections(now_);
  Advance(milliseconds(300), true);
  EXPECT_EQ(link_.closed, before);
}

// Guards against requests that stay queued for an endpoint that refuses
// connections.
TEST_F(EndpointPoolTest, OpeningKeepsFailingWaitingRequestsEndNotRun) {
  const std::set<ConnectionId> open = link_.open;
  for (ConnectionId id : open) link_.Lose(id, *pool_, now_);
  const auto write = Submit(Write());
  for (int i = 0; i < 3; ++i) link_.FailOpening(*pool_, now_);
  ExpectOutcome(write, Verdict::kNotRun, Reason::kConnectionLost);
  EXPECT_TRUE(pool_->stats().breaker_open);
  EXPECT_TRUE(link_.opening.empty());
  Advance(milliseconds(200));
  EXPECT_EQ(link_.opening.size(), 1U);
}

// Guards against a write on the old primary during a planned change of primary.
TEST_F(EndpointPoolTest, HoldDelaysWritesButNotReads) {
  MakeReadsKnownShort();
  pool_->Hold(now_);
  Submit(Write());
  EXPECT_TRUE(link_.sent.empty());
  EXPECT_FALSE(pool_->HasWritesInFlight());
  Submit(Read());
  EXPECT_EQ(link_.sent.size(), 1U);
  pool_->Release(now_);
  EXPECT_EQ(link_.sent.size(), 2U);
  EXPECT_TRUE(pool_->HasWritesInFlight());
}

// Guards against long statements that occupy all slots although one of them has
// already been seen to run long.
TEST_F(EndpointPoolTest, NewStatementRunsLongNextOfItsKindIsLimitedToShare) {
  MakeReadsKnownShort();
  Request long_statement = Read();
  long_statement.statement = "rebuild";
  Submit(long_statement);
  const FakeEndpoint::Sent first = link_.sent.back();
  Advance(milliseconds(20));
  EXPECT_EQ(pool_->stats().running_long, 1U);
  Submit(long_statement);
  EXPECT_EQ(pool_->stats().queued_unknown_cost, 1U);
  Submit(Read());
  EXPECT_EQ(pool_->stats().running, 2U);
  FakeEndpoint::Answer(*pool_, first, now_);
  EXPECT_EQ(pool_->stats().running_long, 1U);
  Submit(long_statement);
  EXPECT_EQ(pool_->stats().queued_long, 1U);
}

// Guards against short statements that wait behind the first runs of long ones
// after the pool owner has started.
TEST_F(EndpointPoolTest, TextIsFrequentFirstRunTakesSlotBeyondShare) {
  Request long_statement = Read();
  long_statement.statement = "rebuild";
  Submit(long_statement);
  Submit(Read());
  Submit(Read());
  EXPECT_EQ(pool_->stats().running, 1U);
  Submit(Read());
  ASSERT_EQ(pool_->stats().running, 2U);
  EXPECT_EQ(link_.sent.back().command.statement, "select");
  AnswerLast();
  EXPECT_EQ(pool_->stats().queued_unknown_cost, 0U);
}

// Guards against one statement that takes two slots beyond the share and turns
// out to be long.
TEST_F(EndpointPoolTest, FrequentTextRunsNextFirstRunStaysWithinShare) {
  Request long_statement = Read();
  long_statement.statement = "rebuild";
  for (int i = 0; i < 10; ++i) Submit(long_statement);
  EXPECT_EQ(pool_->stats().running, 1U);
}

// Guards against treating a rare statement as frequent because its requests
// accumulate during a long wait.
TEST_F(EndpointPoolTest, RequestsOutsideWindowTextIsNotFrequent) {
  Request long_statement = Read();
  long_statement.statement = "rebuild";
  Submit(long_statement);
  for (int i = 0; i < 5; ++i) {
    Advance(milliseconds(60));
    Submit(Read());
  }
  EXPECT_EQ(pool_->stats().running, 1U);
}

}  // namespace
}  // namespace carawayhaven
