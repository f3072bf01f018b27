#include "core/route/replica_selector.h"

#include "route/request_router_fixture.h"

namespace carawayhaven {
namespace {

constexpr Duration kAge = std::chrono::seconds(1);
using Kind = ReadChoice::Kind;

class ReplicaSelectorWithObservations : public testing::Test {
 protected:
  void SetObservation(const EndpointName& endpoint, LogPosition position,
                      Duration age, TimePoint at = At(0)) {
    groups_.RecordObservation(endpoint, {position, age, at});
  }
  ReadChoice Choose(LogPosition token, TimePoint now = At(0),
                    Duration max_age = kAge,
                    const std::set<EndpointName>& excluded_endpoints = {}) {
    Request request = Read(max_age);
    request.deadline = now + std::chrono::seconds(1);
    request.min_position = token;
    return selector_.Choose(services_.service(), "a", request,
                            excluded_endpoints, true, now);
  }

  FakeServices services_;
  GroupDirectory groups_;
  RequestRouterOptions options_;
  std::mt19937_64 random_{1};
  ReplicaSelector selector_{groups_, options_, random_};
};

// Guards against a read that is sent to a replica below the session's token.
TEST_F(ReplicaSelectorWithObservations, OneIsBehindTheOtherServes) {
  SetObservation("b", {1, 5}, Duration(0));
  SetObservation("c", {1, 9}, Duration(0));
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Choose({1, 7}).endpoint, "c");
}

// Guards against relying on a replica that was last observed long ago.
TEST_F(ReplicaSelectorWithObservations,
       NoObservationForLongerThanThePaceAgeGrows) {
  SetObservation("b", {1, 9}, kAge / 2);
  SetObservation("c", {1, 9}, kAge * 2);
  EXPECT_EQ(Choose({1, 7}, At(400)).endpoint, "b");
  EXPECT_EQ(Choose({1, 7}, At(1500)).endpoint, "b") << "first probe";
  EXPECT_EQ(Choose({1, 7}, At(1501)).endpoint, "c") << "first probe";
  EXPECT_EQ(Choose({1, 7}, At(1502)).kind, Kind::kPrimary);
}

// Guards against probe reads at the rate of the requests.
TEST_F(ReplicaSelectorWithObservations, NeverObservedIsTriedAtBoundedRate) {
  int tried = 0;
  for (int i = 0; i < 1000; ++i) {
    if (Choose({1, 7}, At(i)).kind == Kind::kReplica) ++tried;
  }
  EXPECT_EQ(tried, 20);
}

// Guards against sending all load to the replica that is nearest or first in
// order.
TEST_F(ReplicaSelectorWithObservations, FewestOutstandingIsChosen) {
  SetObservation("b", {1, 9}, Duration(0));
  SetObservation("c", {1, 9}, Duration(0));
  selector_.OnForwardSent("b");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Choose({1, 7}).endpoint, "c");
}

TEST_F(ReplicaSelectorWithObservations, NearestDataCentreBreaksTheTie) {
  SetObservation("b", {1, 9}, Duration(0));
  SetObservation("c", {1, 9}, Duration(0));
  options_.distance = [](const DataCentreName& name) {
    return name == "dc-b" ? 1U : 0U;
  };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Choose({1, 7}).endpoint, "c");
}

// Guards against new work on an endpoint that is leaving or has refused.
TEST_F(ReplicaSelectorWithObservations, LeavingAndPassedOverGetNothing) {
  SetObservation("b", {1, 9}, Duration(0));
  SetObservation("c", {1, 9}, Duration(0));
  services_.service().endpoints[1].leaving = true;
  EXPECT_EQ(Choose({1, 7}, At(0), kAge, {"c"}).kind, Kind::kPrimary);
}

// Guards against reading from the primary because a replica lags by a few
// milliseconds.
TEST_F(ReplicaSelectorWithObservations, RateReachesTheTokenSoonWaits) {
  services_.service().endpoints[2].leaving = true;
  SetObservation("b", {1, 1000}, Duration(0));
  Choose({1, 0});
  SetObservation("b", {1, 1100}, Duration(0), At(100));
  const ReadChoice soon = Choose({1, 1130}, At(100));
  EXPECT_EQ(soon.kind, Kind::kWait);
  EXPECT_NEAR(static_cast<double>(soon.wait.count()), 30000, 10);
  EXPECT_EQ(Choose({1, 1200}, At(100)).kind, Kind::kReplica) << "first probe";
  EXPECT_EQ(Choose({1, 1200}, At(100)).kind, Kind::kPrimary);
}

class RouterWithReplicas : public RequestRouterFixture {
 protected:
  void SetUp() override {
    group_.replica_positions = {{"b", {1, 3}}, {"c", {1, 3}}};
  }
  Outcome ReadWithToken(RequestRouter& router, FakePeers& peers,
                        LogPosition token) {
    Request read = Read(kAge);
    read.deadline = now_ + std::chrono::seconds(1);
    read.min_position = token;
    std::optional<Outcome> result;
    std::size_t next = peers.sent.size();
    router.Submit(
        read, [&](const Outcome& o) { result = o; }, now_);
    for (; next < peers.sent.size(); ++next) {
      router.OnForwardReply(peers.sent[next].vm,
                            group_.Handle(peers.sent[next].message), now_);
    }
    EXPECT_TRUE(result.has_value());
    return result.value_or(Outcome{});
  }
};

// Guards against a session that does not see its own write on replicas that are
// far behind, at this router and at another one.
TEST_F(RouterWithReplicas, ReplicasAreFarBehindOwnWriteIsRead) {
  Submit(Write("w"));
  Answer(0);
  const LogPosition token = outcome_->position;
  FakePeers other_peers;
  RequestRouter other(services_, groups_, owners_, other_peers, random_);
  for (int i = 0; i < 50; ++i) {
    now_ += std::chrono::milliseconds(50);
    EXPECT_GE(ReadWithToken(router_, peers_, token).position, token);
    EXPECT_GE(ReadWithToken(other, other_peers, token).position, token);
  }
  EXPECT_EQ(router_.stats().replica_reads, 0U);
  group_.replica_positions = {{"b", token}, {"c", token}};
  now_ = At(5000);
  EXPECT_TRUE(ReadWithToken(router_, peers_, token).from_replica ||
              ReadWithToken(router_, peers_, token).from_replica);
}

// Guards against treating a longer log of an older term as newer data.
TEST_F(RouterWithReplicas, TokenIsOfAnotherTermGoesToThePrimary) {
  group_.replica_positions = {{"b", {1, 999}}, {"c", {1, 999}}};
  Promote("a");
  Announce();
  group_.index = 20;
  EXPECT_FALSE(ReadWithToken(router_, peers_, {2, 15}).from_replica);
  group_.replica_positions = {{"b", {2, 21}}, {"c", {2, 21}}};
  EXPECT_FALSE(ReadWithToken(router_, peers_, {1, 15}).from_replica)
      << "without term starts an older token needs the primary";
}

}  // namespace
}  // namespace carawayhaven
