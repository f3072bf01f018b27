#ifndef CARAWAYHAVEN_TEST_ROUTE_REQUEST_ROUTER_FIXTURE_H_
#define CARAWAYHAVEN_TEST_ROUTE_REQUEST_ROUTER_FIXTURE_H_

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <string>

#include "core/group/group_directory.h"
#include "core/route/request_router.h"
#include "route/fake_route.h"

namespace carawayhaven {

inline Request Write(const std::string& id) {
  Request request;
  request.service = "s";
  request.access = AccessMode::kWrite;
  request.id.value = id;
  request.deadline = At(1000);
  return request;
}

inline Request Read(std::optional<Duration> max_age) {
  Request request;
  request.service = "s";
  request.max_age = max_age;
  request.deadline = At(1000);
  return request;
}

inline Request Step(RequestKind kind, const TransactionId& transaction) {
  Request request = Write(kind == RequestKind::kCommit ? "commit" : "");
  request.kind = kind;
  request.transaction = transaction;
  return request;
}

/// A request router at VM "v" with fakes around it. The time starts at 0 ms.
class RequestRouterFixture : public testing::Test {
 protected:
  /// Submits and keeps the outcome in `outcome_`.
  void Submit(Request request) {
    outcome_.reset();
    router_.Submit(
        std::move(request),
        [this](const Outcome& outcome) {
          EXPECT_FALSE(outcome_.has_value()) << "two outcomes";
          outcome_ = outcome;
        },
        now_);
  }

  /// Lets the group handle message `i` and delivers the reply.
  void Answer(std::size_t i) {
    router_.OnForwardReply(peers_.sent.at(i).vm,
                           group_.Handle(peers_.sent.at(i).message), now_);
  }

  void Refuse(std::size_t i, Reason reason,
              Verdict verdict = Verdict::kNotRun) {
    ForwardReplyMessage reply{
        peers_.sent.at(i).message.correlation, group_.term, {}};
    reply.outcome.verdict = verdict;
    reply.outcome.reason = reason;
    router_.OnForwardReply(peers_.sent.at(i).vm, reply, now_);
  }

  void AdvanceTo(TimePoint end) {
    while (router_.NextTick() <= end) {
      now_ = std::max(now_, router_.NextTick());
      router_.Tick(now_);
    }
    now_ = end;
  }

  /// Answers all messages from `i` on, including new ones, until no request is
  /// in flight or the time is 2 s.
  void AnswerFrom(std::size_t i) {
    while (router_.in_flight() > 0 && now_ < At(2000)) {
      for (; i < peers_.sent.size(); ++i) Answer(i);
      if (router_.in_flight() == 0) return;
      AdvanceTo(now_ + std::chrono::milliseconds(1));
    }
  }

  void Promote(const EndpointName& primary) {
    ++group_.term;
    group_.primary = primary;
  }

  void Announce() {
    groups_.Apply({"s", group_.term, group_.primary, {}});
    router_.OnGroupChanged("s", now_);
  }

  TimePoint now_ = At(0);
  FakeServices services_;
  GroupDirectory groups_;
  FakeOwners owners_{"v"};
  FakePeers peers_;
  FakeGroup group_;
  std::mt19937_64 random_{1};
  RequestRouter router_{services_, groups_, owners_, peers_, random_};
  std::optional<Outcome> outcome_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_ROUTE_REQUEST_ROUTER_FIXTURE_H_
