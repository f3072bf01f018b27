#include "route/request_router_fixture.h"

namespace carawayhaven {
namespace {

// The old primary is frozen: its owner holds the request and cannot answer.
class RouterWithRequestOnFrozenPrimary : public RequestRouterFixture {
 protected:
  void ChangePrimary() {
    AdvanceTo(At(50));
    Promote("b");
    Announce();
    AdvanceTo(At(200));
  }
};

// Guards against a write that waits until its deadline although the new primary
// can settle it.
TEST_F(RouterWithRequestOnFrozenPrimary, WriteIsSettledByTheNewPrimary) {
  Submit(Write("w"));
  ChangePrimary();
  ASSERT_GT(peers_.sent.size(), 1U);
  EXPECT_EQ(peers_.sent.at(1).message.endpoint, "b");
  EXPECT_EQ(peers_.sent.at(1).message.request.kind, RequestKind::kResolve);
  AnswerFrom(1);
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
  EXPECT_EQ(group_.EffectsOf("w"), 1);
  EXPECT_LT(now_, At(300));
}

// Guards against a second effect when the old primary had run the write.
TEST_F(RouterWithRequestOnFrozenPrimary, WriteThatRanIsNotRepeated) {
  Submit(Write("w"));
  group_.Handle(peers_.sent.at(0).message);
  ChangePrimary();
  AnswerFrom(1);
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
  EXPECT_EQ(group_.EffectsOf("w"), 1);
}

// Guards against a read of current data that waits for the frozen primary
// although a new one is known.
TEST_F(RouterWithRequestOnFrozenPrimary, ReadIsSentToTheNewPrimary) {
  Submit(Read(std::nullopt));
  ChangePrimary();
  ASSERT_GT(peers_.sent.size(), 1U);
  EXPECT_EQ(peers_.sent.at(1).message.endpoint, "b");
  Answer(1);
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
}

// Guards against a resolve for each write of a planned change: the owner
// refuses what it held as soon as it knows the term.
TEST_F(RouterWithRequestOnFrozenPrimary, OwnerAnswersInTimeNeedsNoResolve) {
  Submit(Write("w"));
  AdvanceTo(At(50));
  Promote("b");
  Announce();
  AdvanceTo(At(100));
  Refuse(0, Reason::kStaleTerm);
  ASSERT_EQ(peers_.sent.size(), 2U);
  EXPECT_EQ(peers_.sent.at(1).message.request.kind, RequestKind::kStatement);
}

}  // namespace
}  // namespace carawayhaven
