#include "route/request_router_fixture.h"

namespace carawayhaven {
namespace {

constexpr Duration kAge = std::chrono::seconds(1);

enum class Fault {
  kSendFails,
  kNoOwner,
  kLostBeforeRun,
  kLostAfterRun,
  kSilentBeforeRun,
  kSilentAfterRun,
  kUnconfirmed,
  kOldTermRan,
  kReason,
};

enum class Kind { kWrite, kCurrentRead, kAgedRead };

struct FaultCase {
  const char* name;
  Kind kind;
  Fault fault;
  Reason reason;
  Verdict verdict;
  int effects;
};

std::ostream& operator<<(std::ostream& out, const FaultCase& fault_case) {
  return out << fault_case.name;
}

class RouterWithFault : public RequestRouterFixture,
                        public testing::WithParamInterface<FaultCase> {
 protected:
  void Inject(const FaultCase& fault_case) {
    switch (fault_case.fault) {
      case Fault::kSendFails:
      case Fault::kNoOwner:
        return;
      case Fault::kLostAfterRun:
        group_.Handle(peers_.sent.at(0).message);
        [[fallthrough]];
      case Fault::kLostBeforeRun:
        router_.OnPeerLost(peers_.sent.at(0).vm, now_);
        return;
      case Fault::kSilentAfterRun:
        group_.Handle(peers_.sent.at(0).message);
        [[fallthrough]];
      case Fault::kSilentBeforeRun:
        return;
      case Fault::kUnconfirmed:
        group_.Handle(peers_.sent.at(0).message);
        Refuse(0, Reason::kDeadline, Verdict::kMayHaveRun);
        return;
      case Fault::kOldTermRan: {
        // Only the replaced primary has the effect.
        ForwardReplyMessage reply{peers_.sent.at(0).message.correlation, 1, {}};
        reply.outcome.verdict = Verdict::kRan;
        reply.outcome.served_by = "a";
        Promote("b");
        Announce();
        router_.OnForwardReply(peers_.sent.at(0).vm, reply, now_);
        return;
      }
      case Fault::kReason:
        Refuse(0, fault_case.reason);
        return;
    }
  }
};

// Guards against a wrong verdict, a second effect and a missing retry, for each
// row of the table in docs/design.md, section 5, that the request router
// decides.
TEST_P(RouterWithFault, RequestEndsWithVerdictAndEffectsOfTheTable) {
  const FaultCase& fault_case = GetParam();
  if (fault_case.fault == Fault::kSendFails) {
    peers_.unreachable = {"a-1", "b-1", "c-1"};
  }
  owners_.none = fault_case.fault == Fault::kNoOwner;
  Submit(fault_case.kind == Kind::kWrite
             ? Write("w")
             : Read(fault_case.kind == Kind::kAgedRead ? std::optional(kAge)
                                                       : std::nullopt));
  Inject(fault_case);
  const bool sent_first = fault_case.fault != Fault::kSendFails;
  AnswerFrom(sent_first ? 1 : 0);
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(VerdictName(outcome_->verdict), VerdictName(fault_case.verdict));
  EXPECT_EQ(group_.EffectsOf("w"), fault_case.effects);
  EXPECT_EQ(router_.in_flight(), 0U);
  EXPECT_EQ(router_.NextTick(), TimePoint::max());
}

constexpr Verdict kRan = Verdict::kRan;
constexpr Verdict kNotRun = Verdict::kNotRun;

INSTANTIATE_TEST_SUITE_P(
    Section5, RouterWithFault,
    testing::Values(
        FaultCase{"sendFails", Kind::kWrite, Fault::kSendFails, {}, kRan, 1},
        FaultCase{"noOwner", Kind::kWrite, Fault::kNoOwner, {}, kNotRun, 0},
        FaultCase{"lost", Kind::kWrite, Fault::kLostBeforeRun, {}, kRan, 1},
        FaultCase{"lostRan", Kind::kWrite, Fault::kLostAfterRun, {}, kRan, 1},
        FaultCase{"silent", Kind::kWrite, Fault::kSilentBeforeRun, {}, kRan, 1},
        FaultCase{
            "silentRan", Kind::kWrite, Fault::kSilentAfterRun, {}, kRan, 1},
        FaultCase{
            "unconfirmed", Kind::kWrite, Fault::kUnconfirmed, {}, kRan, 1},
        FaultCase{"oldTerm", Kind::kWrite, Fault::kOldTermRan, {}, kRan, 1},
        FaultCase{"ownerDeadline", Kind::kWrite, Fault::kReason,
                  Reason::kDeadline, kNotRun, 0},
        FaultCase{"overloaded", Kind::kWrite, Fault::kReason,
                  Reason::kOverloaded, kNotRun, 0},
        FaultCase{"statementError", Kind::kWrite, Fault::kReason,
                  Reason::kStatementError, kNotRun, 0},
        FaultCase{"ownerLeaves", Kind::kWrite, Fault::kReason, Reason::kLeaving,
                  kRan, 1},
        FaultCase{"openFails", Kind::kWrite, Fault::kReason,
                  Reason::kConnectionLost, kRan, 1},
        FaultCase{"staleTerm", Kind::kWrite, Fault::kReason, Reason::kStaleTerm,
                  kRan, 1},
        FaultCase{"notPrimary", Kind::kWrite, Fault::kReason,
                  Reason::kNotPrimary, kRan, 1},
        FaultCase{"busy", Kind::kWrite, Fault::kReason, Reason::kBusy, kRan, 1},
        FaultCase{"cancelled", Kind::kWrite, Fault::kReason, Reason::kCancelled,
                  kRan, 1},
        FaultCase{
            "readLost", Kind::kCurrentRead, Fault::kLostBeforeRun, {}, kRan, 0},
        FaultCase{
            "readOldTerm", Kind::kCurrentRead, Fault::kOldTermRan, {}, kRan, 0},
        FaultCase{"readSilent",
                  Kind::kCurrentRead,
                  Fault::kSilentBeforeRun,
                  {},
                  kNotRun,
                  0},
        FaultCase{
            "agedLost", Kind::kAgedRead, Fault::kLostBeforeRun, {}, kRan, 0},
        FaultCase{"agedSilent",
                  Kind::kAgedRead,
                  Fault::kSilentBeforeRun,
                  {},
                  kRan,
                  0},
        FaultCase{"agedBehind", Kind::kAgedRead, Fault::kReason,
                  Reason::kBehind, kRan, 0},
        FaultCase{"agedUnconfirmed",
                  Kind::kAgedRead,
                  Fault::kUnconfirmed,
                  {},
                  kRan,
                  0}),
    [](const auto& info) { return std::string(info.param.name); });

class RouterWithWrite : public RequestRouterFixture {
 protected:
  void SetUp() override { Submit(Write("w")); }
};

// Guards against late, repeated and foreign replies that end a request.
TEST_F(RouterWithWrite, ForeignAndRepeatedRepliesAreCountedAndDropped) {
  ForwardReplyMessage reply = group_.Handle(peers_.sent.at(0).message);
  router_.OnForwardReply("stranger", reply, now_);
  ForwardReplyMessage unknown = reply;
  unknown.correlation = 999;
  router_.OnForwardReply("a-1", unknown, now_);
  EXPECT_FALSE(outcome_.has_value());
  router_.OnForwardReply("a-1", reply, now_);
  router_.OnForwardReply("a-1", reply, now_);
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->position, (LogPosition{1, 11}));
  EXPECT_EQ(router_.stats().dropped_replies, 3U);
}

// Guards against a reply that ends a request other than its own.
TEST_F(RouterWithWrite, ReorderedRepliesReachTheirOwnRequests) {
  std::optional<Outcome> second;
  router_.Submit(
      Write("x"), [&second](const Outcome& o) { second = o; }, now_);
  Answer(1);
  ASSERT_TRUE(second.has_value());
  EXPECT_FALSE(outcome_.has_value());
  Answer(0);
  EXPECT_LT(second->position, outcome_->position);
}

// Guards against a resolve that starts too late to finish within the deadline.
TEST_F(RouterWithWrite, NoAnswerIsResolvedBeforeTheDeadline) {
  EXPECT_EQ(peers_.sent.at(0).message.request.deadline, At(700));
  AdvanceTo(At(725));
  ASSERT_EQ(peers_.sent.size(), 2U);
  EXPECT_EQ(peers_.sent.at(1).message.request.kind, RequestKind::kResolve);
}

// Guards against reporting kNotRun for a write whose resolve was never
// answered.
TEST_F(RouterWithWrite, ResolveNeverAnsweredReportsMayHaveRun) {
  AdvanceTo(At(1100));
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kMayHaveRun);
}

// Guards against a first copy that arrives after its cancel marker and runs in
// addition to the second attempt.
TEST_F(RouterWithWrite, ResolveOvertakesTheOriginalRunsOnce) {
  router_.OnPeerLost("a-1", now_);
  Answer(1);
  ASSERT_EQ(peers_.sent.at(2).message.request.id.attempt, 1U);
  Answer(0);
  EXPECT_EQ(group_.EffectsOf("w"), 0);
  Answer(2);
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
  EXPECT_EQ(group_.EffectsOf("w"), 1);
}

// Guards against a resolve that ends a write whose answer is only late, and
// against a second outcome from the answer to the resolve.
TEST_F(RouterWithWrite, AnswerIsLateEndsTheResolve) {
  const ForwardReplyMessage late = group_.Handle(peers_.sent.at(0).message);
  AdvanceTo(At(725));
  router_.OnForwardReply("a-1", late, now_);
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
  Answer(1);
  EXPECT_EQ(router_.stats().dropped_replies, 1U);
}

// Guards against waiting for yet another term although the new primary is
// already known.
TEST_F(RouterWithWrite, RefusalArrivesAfterTheAnnouncementIsSentAtOnce) {
  Promote("b");
  Announce();
  Refuse(0, Reason::kNotPrimary);
  ASSERT_EQ(peers_.sent.size(), 2U);
  EXPECT_EQ(peers_.sent.at(1).message.endpoint, "b");
}

// Guards against adding a back-off to the time of a failover.
TEST_F(RouterWithWrite, NewPrimaryIsAnnouncedIsSentAtOnce) {
  Refuse(0, Reason::kNotPrimary);
  Promote("b");
  Announce();
  ASSERT_EQ(peers_.sent.size(), 2U);
  EXPECT_EQ(peers_.sent.at(1).message.endpoint, "b");
  EXPECT_EQ(peers_.sent.at(1).message.term, 2U);
}

// Guards against unlimited retries while an endpoint is overloaded.
TEST_F(RouterWithWrite, BudgetIsSpentBusyIsReported) {
  Refuse(0, Reason::kBusy);
  for (int i = 0; i < 25; ++i) {
    Submit(Write("n" + std::to_string(i)));
    Refuse(peers_.sent.size() - 1, Reason::kBusy);
  }
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->reason, Reason::kBusy);
  EXPECT_GT(outcome_->retry_after, Duration(0));
  EXPECT_EQ(router_.stats().retries, 12U) << "10 a second and 10% of 26";
}

// Guards against a delayed copy that runs after a caller received kNotRun.
TEST_F(RouterWithWrite, CallerResolvedOnAnotherProxyNeverRuns) {
  FakePeers other_peers;
  FakeOwners other_owners{"u"};
  RequestRouter other(services_, groups_, other_owners, other_peers, random_);
  Request resolve = Write("w");
  resolve.kind = RequestKind::kResolve;
  std::optional<Outcome> resolved;
  other.Submit(
      resolve, [&](const Outcome& o) { resolved = o; }, now_);
  other.OnForwardReply(other_peers.sent.at(0).vm,
                       group_.Handle(other_peers.sent.at(0).message), now_);
  EXPECT_EQ(resolved->verdict, Verdict::kNotRun);
  AnswerFrom(0);
  EXPECT_EQ(outcome_->reason, Reason::kCancelled);
  EXPECT_EQ(group_.EffectsOf("w"), 0);
  Request retry = Write("w");
  retry.id.attempt = 1;
  Submit(retry);
  Answer(peers_.sent.size() - 1);
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
}

// Guards against a restarted router that accepts a reply to the earlier process
// of its VM.
TEST_F(RouterWithWrite, RestartsDropsRepliesToItsPredecessor) {
  FakePeers peers;
  RequestRouterOptions options;
  options.incarnation = 1'000'000;
  RequestRouter successor(services_, groups_, owners_, peers, random_, options);
  std::optional<Outcome> outcome;
  successor.Submit(
      Write("x"), [&](const Outcome& o) { outcome = o; }, now_);
  successor.OnForwardReply(peers_.sent.at(0).vm,
                           group_.Handle(peers_.sent.at(0).message), now_);
  EXPECT_FALSE(outcome.has_value());
  EXPECT_EQ(successor.stats().dropped_replies, 1U);
  successor.OnForwardReply(peers.sent.at(0).vm,
                           group_.Handle(peers.sent.at(0).message), now_);
  EXPECT_EQ(outcome->verdict, Verdict::kRan);
}

// Guards against accepting new requests in a draining proxy, and against
// aborting those in flight.
TEST_F(RouterWithWrite, DrainsTakesNoNewWorkAndFinishesTheOld) {
  router_.Drain(now_);
  std::optional<Outcome> refused;
  router_.Submit(
      Write("x"), [&](const Outcome& o) { refused = o; }, now_);
  EXPECT_EQ(refused->reason, Reason::kLeaving);
  Answer(0);
  EXPECT_EQ(outcome_->verdict, Verdict::kRan);
}

// Guards against a request that ends without an outcome when its process ends,
// and against reporting kNotRun for one that may have run.
TEST_F(RouterWithWrite, ProcessEndsEndsAllRequests) {
  router_.EndAll();
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(outcome_->reason, Reason::kLeaving);
  EXPECT_EQ(router_.in_flight(), 0U);
  Submit(Write("late"));
  ASSERT_TRUE(outcome_.has_value());
  EXPECT_EQ(outcome_->verdict, Verdict::kNotRun);
  EXPECT_EQ(outcome_->reason, Reason::kLeaving);
}

// Guards against accepting a non-idempotent write that could not be resolved.
TEST_F(RouterWithWrite, NonIdempotentWithoutIdIsRefused) {
  Submit(Write(""));
  EXPECT_EQ(outcome_->reason, Reason::kInvalidRequest);
  Request idempotent = Write("");
  idempotent.idempotent = true;
  Submit(idempotent);
  EXPECT_EQ(peers_.sent.back().message.request.id.value, "v/0/1");
}

}  // namespace
}  // namespace carawayhaven
