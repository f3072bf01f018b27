#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <variant>
#include <vector>

#include "core/config/config_digest_source.h"
#include "core/failover/failover_manager.h"
#include "session/fake_session_link.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class IgnoringObserver : public RouterObserver, public FailoverObserver {
 public:
  void OnRouting(const RoutingDecision&) override {}
  void OnEndpointReachable(std::string_view, bool, ReplyCode) override {}
  void OnFaultyAnswer(const FaultyAnswer&) override {}
  void OnLeaderChanged(const VmName&, bool) override {}
  void OnPrimaryStateChanged(const ServiceName&, std::string_view,
                             const EndpointName&, Term, std::string_view,
                             Duration) override {}
  void OnPromotionHeld(const PromotionHold&) override {}
  void OnStoreReachable(std::string_view, bool) override {}
  void OnMalformedObject(std::string_view, std::string_view) override {}
};

struct NoDigest : ConfigDigestSource {
  const ConfigDigest& digest() const override { return none; }
  ConfigDigest none;
};

class SilentStore : public PlatformStore, public PromotionService {
 public:
  void Get(std::string_view, StoreCallback) override {}
  void Put(std::string_view, std::string_view, ObjectVersion,
           StoreCallback) override {}
  void Watch(std::string_view, ObjectVersion, StoreCallback) override {}
  void Promote(const ServiceName&, const EndpointName&, const VmName&,
               std::uint64_t, Callback) override {}
};

/// Records the requests for leases.
class RecordingPeers : public PeerLink {
 public:
  bool Send(const VmName& vm, const PeerMessage& message) override {
    if (const auto* request = std::get_if<LeaseRequestMessage>(&message)) {
      requests.emplace_back(vm, request->correlation);
    } else if (const auto* reply = std::get_if<LeaseReplyMessage>(&message)) {
      replies.push_back(*reply);
    }
    return true;
  }
  void SetAddress(const VmName&, std::string_view) override {}

  std::vector<std::pair<VmName, CorrelationId>> requests;
  std::vector<LeaseReplyMessage> replies;
};

/// One process of a VM.
struct Process {
  Process(TimePoint& now, ObjectVersion version)
      : manager(FailoverManager::Dependencies{link, store, store, router,
                                              membership, peers, observer,
                                              random, [&now] { return now; }},
                "vm-0", VmEntry{"dc", "10.0.0.1:7000", "p", 0, false},
                version) {
    manager.SetCandidates({"vm-0", "vm-1"});
  }

  std::mt19937_64 random{1};
  FakeSessionLink link;
  SilentStore store;
  RecordingPeers peers;
  NoDigest digest;
  IgnoringObserver observer;
  SessionRouter router{link, observer,
                       [](const DataCentreName&) { return milliseconds(5); }};
  Membership membership{
      {"vm-0", "dc", "10.0.0.1:7000", 1}, peers, digest, random};
  FailoverManager manager;
};

class VmThatRequestsLeases : public testing::Test {
 protected:
  /// Starts a process and runs it until it has asked a peer.
  std::unique_ptr<Process> Start(ObjectVersion version) {
    auto process = std::make_unique<Process>(now_, version);
    for (int i = 0; i < 100 && process->peers.requests.empty(); ++i) {
      now_ += milliseconds(10);
      process->manager.Tick(now_);
    }
    return process;
  }
  /// Delivers a reply with a lease; returns true if the lease is used.
  bool Reply(Process& process, const VmName& from, CorrelationId correlation) {
    LeaseReplyMessage reply;
    reply.correlation = correlation;
    reply.leader = "vm-2";
    LeaseGrant& lease = reply.leases.emplace_back();
    lease.service = "s";
    lease.endpoint = "e";
    lease.term = 1;
    lease.time_left = seconds(1);
    process.manager.OnLeaseReply(from, reply, now_);
    return !process.router.leases().all().empty();
  }

  TimePoint now_{seconds(10)};
};

// Guards against a lease that is extended by a late reply to the predecessor of
// the process: its duration counts from a later request of the same id.
TEST_F(VmThatRequestsLeases, ReplyIsToAnEarlierProcessItIsIgnored) {
  const auto earlier = Start(7);
  ASSERT_FALSE(earlier->peers.requests.empty());
  const auto present = Start(8);
  ASSERT_FALSE(present->peers.requests.empty());
  const auto [vm, late] = earlier->peers.requests.front();
  EXPECT_FALSE(Reply(*present, vm, late));
  EXPECT_TRUE(Reply(*present, vm, present->peers.requests.front().second));
}

// Guards against a VM that keeps an old configuration for seconds while there
// is no leader, because the peers that it asks do not show theirs.
TEST_F(VmThatRequestsLeases, PeerIsAskedItShowsItsConfiguration) {
  const auto process = Start(7);
  RouteTable routes;
  routes.version = 12;
  process->manager.SetRoutes(routes);
  process->manager.OnLeaseRequest("vm-1", {}, now_);
  process->manager.SetConfigConfirmed(now_ - seconds(2));
  process->manager.OnLeaseRequest("vm-1", {}, now_);
  ASSERT_EQ(process->peers.replies.size(), 2U);
  EXPECT_EQ(process->peers.replies[0].config_version, 12U);
  EXPECT_LT(process->peers.replies[0].config_age, Duration{0});
  EXPECT_EQ(process->peers.replies[1].config_age, seconds(2));
}

// Guards against evidence that is dated by a request that was never sent.
TEST_F(VmThatRequestsLeases, ReplyIsAcceptedItTellsWhenItsRequestWasSent) {
  const auto process = Start(7);
  ASSERT_FALSE(process->peers.requests.empty());
  const TimePoint sent = now_;
  now_ += milliseconds(30);
  LeaseReplyMessage reply;
  reply.correlation = process->peers.requests.front().second;
  EXPECT_FALSE(process->manager.OnLeaseReply("vm-3", reply, now_));
  EXPECT_EQ(process->manager.OnLeaseReply("vm-1", reply, now_), sent);
}

// Guards against a lease of a VM that was not asked.
TEST_F(VmThatRequestsLeases, ReplyIsFromAnotherVmItIsIgnored) {
  const auto process = Start(7);
  ASSERT_FALSE(process->peers.requests.empty());
  const auto [vm, correlation] = process->peers.requests.front();
  ASSERT_EQ(vm, "vm-1");
  EXPECT_FALSE(Reply(*process, "vm-3", correlation));
  EXPECT_TRUE(Reply(*process, vm, correlation));
}

}  // namespace
}  // namespace carawayhaven
