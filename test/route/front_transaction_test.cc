#include "route/request_router_fixture.h"

namespace carawayhaven {
namespace {

class RouterWithTransaction : public RequestRouterFixture {
 protected:
  void SetUp() override {
    Submit(Step(RequestKind::kBegin, "t1"));
    Answer(0);
    ASSERT_EQ(outcome_->verdict, Verdict::kRan);
  }
};

// Guards against a statement that runs outside its transaction.
TEST_F(RouterWithTransaction, StepsGoToTheOwnerOfTheBegin) {
  peers_.unreachable = {"a-2"};
  Submit(Step(RequestKind::kStatement, "t1"));
  EXPECT_EQ(peers_.sent.at(1).vm, "a-1");
  Answer(1);
  Submit(Step(RequestKind::kCommit, "t1"));
  EXPECT_EQ(peers_.sent.at(2).vm, "a-1");
  Answer(2);
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
  EXPECT_FALSE(router_.has_open_transactions());
}

// Guards against a statement that goes on without its lost predecessors.
TEST_F(RouterWithTransaction, OwnerIsLostEndsTheTransactionNotRun) {
  Submit(Step(RequestKind::kStatement, "t1"));
  router_.OnPeerLost("a-1", now_);
  EXPECT_EQ(outcome_->verdict, Verdict::kNotRun);
  Submit(Step(RequestKind::kStatement, "t1"));
  EXPECT_EQ(outcome_->reason, Reason::kUnknownTransaction);
  Submit(Step(RequestKind::kCommit, "t1"));
  AnswerFrom(2);
  EXPECT_EQ(outcome_->verdict, Verdict::kNotRun);
  EXPECT_EQ(group_.EffectsOf("commit"), 0);
}

// Guards against reporting kNotRun for a commit that ran before its caller
// moved to this router and sent it again.
TEST_F(RouterWithTransaction, CommitIsRepeatedOnAnotherProxyIsResolved) {
  Submit(Step(RequestKind::kCommit, "t1"));
  Answer(1);
  ASSERT_EQ(outcome_->verdict, Verdict::kRan);
  Submit(Step(RequestKind::kCommit, "t1"));
  EXPECT_EQ(peers_.sent.at(2).message.request.kind, RequestKind::kResolve);
  Answer(2);
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
  EXPECT_EQ(group_.EffectsOf("commit"), 1);
}

// Guards against a refused resolve that reads as "the write did not run".
TEST_F(RouterWithTransaction, ResolveIsRefusedMayHaveRun) {
  router_.Drain(now_);
  Submit(Step(RequestKind::kResolve, ""));
  EXPECT_EQ(outcome_->verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(outcome_->reason, Reason::kLeaving);
}

// Guards against a commit under a primary that was replaced.
TEST_F(RouterWithTransaction, TermChangesBeforeCommitIsNotRunAndRolledBack) {
  Promote("b");
  Announce();
  Submit(Step(RequestKind::kCommit, "t1"));
  EXPECT_EQ(outcome_->reason, Reason::kStaleTerm);
  EXPECT_EQ(peers_.sent.back().message.request.kind, RequestKind::kRollback);
}

class RouterWithLostCommit : public RouterWithTransaction,
                             public testing::WithParamInterface<bool> {};

// Guards against a verdict for an unanswered commit that is not based on a
// resolve.
TEST_P(RouterWithLostCommit, CommitIsLostIsResolvedByItsId) {
  Submit(Step(RequestKind::kCommit, "t1"));
  if (GetParam()) group_.Handle(peers_.sent.at(1).message);
  router_.OnPeerLost("a-1", now_);
  EXPECT_EQ(peers_.sent.at(2).message.request.kind, RequestKind::kResolve);
  Answer(2);
  EXPECT_EQ(outcome_->verdict, GetParam() ? Verdict::kRan : Verdict::kNotRun);
  EXPECT_EQ(group_.EffectsOf("commit"), GetParam() ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(RanOrNot, RouterWithLostCommit, testing::Bool());

// Guards against locks that are held for a caller that is gone.
TEST_F(RouterWithTransaction, CallerGoesAwayRollsBack) {
  router_.AbandonTransaction("t1", now_);
  EXPECT_EQ(peers_.sent.back().message.request.kind, RequestKind::kRollback);
  Answer(1);
  EXPECT_EQ(router_.in_flight(), 0U);
}

// Guards against a rollback that overtakes a commit under way.
TEST_F(RouterWithTransaction, CallerGoesAwayDuringCommitLetsItEnd) {
  Submit(Step(RequestKind::kCommit, "t1"));
  router_.AbandonTransaction("t1", now_);
  EXPECT_EQ(peers_.sent.size(), 2U);
}

// Guards against reporting a statement without an answer while its transaction
// can still be committed without it.
TEST_F(RouterWithTransaction, StatementWithoutAnswerEndsTheTransaction) {
  Submit(Step(RequestKind::kStatement, "t1"));
  AdvanceTo(At(1000));
  EXPECT_EQ(outcome_->verdict, Verdict::kNotRun);
  EXPECT_FALSE(router_.has_open_transactions());
  EXPECT_EQ(peers_.sent.back().message.request.kind, RequestKind::kRollback);
}

// Guards against a step that is forwarded when nobody waits for its answer any
// more.
TEST_F(RouterWithTransaction, ProcessEndsEndsTheStepAndRefusesTheNextOne) {
  Submit(Step(RequestKind::kStatement, "t1"));
  router_.Drain(now_);
  router_.EndAll();
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kNotRun);
  const std::size_t sent = peers_.sent.size();
  Submit(Step(RequestKind::kCommit, "t1"));
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(outcome_->reason, Reason::kLeaving);
  EXPECT_EQ(peers_.sent.size(), sent);
}

}  // namespace
}  // namespace carawayhaven
