#include <vector>

#include "route/request_router_fixture.h"

namespace carawayhaven {
namespace {

/// Two routers that submit the same ids, a link that loses, delays, repeats and
/// reorders, and a primary that changes.
class TwoRoutersWithRandomFaults : public testing::TestWithParam<int> {
 protected:
  struct Submission {
    std::string id;
    bool is_resolve = false;
    std::optional<Outcome> outcome;
    /// Effects of the id when the outcome was reported.
    int effects = 0;
  };
  struct Node {
    explicit Node(const VmName& name) : owners(name) {}
    FakeOwners owners;
    FakePeers peers;
    GroupDirectory groups;
    std::mt19937_64 random{7};
    std::unique_ptr<RequestRouter> router;
  };

  void SetUp() override {
    for (Node* node : {&left_, &right_}) {
      node->router = std::make_unique<RequestRouter>(
          services_, node->groups, node->owners, node->peers, node->random);
    }
  }

  bool Chance(unsigned percent) { return random_() % 100 < percent; }

  void Submit(Node& node, const std::string& id, bool is_resolve) {
    Request request = Write(id);
    request.deadline = now_ + std::chrono::milliseconds(400);
    if (is_resolve) request.kind = RequestKind::kResolve;
    submissions_.push_back(std::make_unique<Submission>());
    Submission* entry = submissions_.back().get();
    entry->id = id;
    entry->is_resolve = is_resolve;
    node.router->Submit(
        request,
        [this, entry](const Outcome& outcome) {
          EXPECT_FALSE(entry->outcome.has_value());
          entry->outcome = outcome;
          entry->effects = group_.EffectsOf(entry->id);
        },
        now_);
  }

  void Deliver(Node& node) {
    for (auto& sent : std::exchange(node.peers.sent, {})) {
      if (Chance(10)) continue;
      if (Chance(25)) {
        node.peers.sent.push_back(std::move(sent));
        continue;
      }
      const ForwardReplyMessage reply = group_.Handle(sent.message);
      if (Chance(5)) node.peers.sent.push_back(sent);
      if (!Chance(15)) node.router->OnForwardReply(sent.vm, reply, now_);
    }
    if (Chance(3)) node.router->OnPeerLost(group_.primary + "-1", now_);
  }

  FakeServices services_;
  FakeGroup group_;
  TimePoint now_ = At(0);
  std::mt19937_64 random_;
  Node left_{"left"};
  Node right_{"right"};
  std::vector<std::unique_ptr<Submission>> submissions_;
};

// Guards against a second effect of one id, a kRan without an effect, and a
// kNotRun for a resolve that is followed by an effect.
TEST_P(TwoRoutersWithRandomFaults, SameIdsAreRetriedRunAtMostOnce) {
  random_.seed(static_cast<unsigned>(GetParam()));
  for (int ms = 0; ms < 4000; ++ms) {
    now_ = At(ms);
    if (ms < 3000 && ms % 10 == 0) {
      const std::string id = "w" + std::to_string(random_() % (ms / 5 + 1));
      Submit(Chance(50) ? left_ : right_, id, Chance(20));
    }
    if (Chance(1) && Chance(30)) {
      ++group_.term;
      group_.primary = Chance(50) ? "b" : "c";
      for (Node* node : {&left_, &right_}) {
        if (Chance(50)) continue;
        node->groups.Apply({"s", group_.term, group_.primary, {}});
        node->router->OnGroupChanged("s", now_);
      }
    }
    for (Node* node : {&left_, &right_}) {
      Deliver(*node);
      node->router->Tick(now_);
    }
  }
  std::size_t ran = 0;
  std::map<std::string, int> submitted;
  for (const auto& entry : submissions_) ++submitted[entry->id];
  for (const auto& entry : submissions_) {
    ASSERT_TRUE(entry->outcome.has_value()) << entry->id;
    const int effects = group_.EffectsOf(entry->id);
    EXPECT_LE(effects, 1) << entry->id;
    if (entry->outcome->verdict == Verdict::kRan) {
      ++ran;
      EXPECT_EQ(entry->effects, 1) << entry->id;
    }
    // With other submissions of the id the effect may be one of theirs.
    if (submitted[entry->id] == 1 &&
        entry->outcome->verdict == Verdict::kNotRun) {
      EXPECT_EQ(effects, 0) << entry->id;
    }
    if (entry->is_resolve && entry->outcome->verdict == Verdict::kNotRun) {
      EXPECT_TRUE(entry->outcome->reason != Reason::kCancelled || effects == 0)
          << entry->id;
    }
  }
  EXPECT_GT(ran, submissions_.size() / 4);
  EXPECT_EQ(left_.router->in_flight() + right_.router->in_flight(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TwoRoutersWithRandomFaults,
                         testing::Range(1, 41));

}  // namespace
}  // namespace carawayhaven
