#include "proxy/pool_set.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "core/group/group_directory.h"
#include "proxy/span_sink.h"
#include "proxy/tracing.h"
#include "queue/fake_endpoint.h"
#include "route/fake_route.h"

namespace carawayhaven {
namespace {

class RecordingSpanSink : public SpanSink {
 public:
  void Write(std::string_view line) override {
    const nlohmann::json span = nlohmann::json::parse(line);
    spans[span.at("operation")] = span;
  }

  std::map<std::string, nlohmann::json> spans;
};

class DiscardingPeerLink : public PeerLink {
 public:
  bool Send(const VmName&, const PeerMessage&) override { return true; }
  void SetAddress(const VmName&, std::string_view) override {}
};

class PoolSetTest : public testing::Test {
 protected:
  TimePoint now_ = At(0);
  FakeServices services_;
  GroupDirectory groups_;
  FakeOwners owners_{"a-1"};
  FakeEndpoint link_;
  DiscardingPeerLink peers_;
  std::mt19937_64 random_{1};
  RecordingSpanSink sink_;
  Tracing tracing_{1.0, sink_, random_};
  PoolSet pools_{services_,
                 groups_,
                 owners_,
                 link_,
                 peers_,
                 tracing_,
                 std::chrono::seconds(10)};
};

// Guards against a trace that does not separate the time in the queue from the
// time on the endpoint.
TEST_F(PoolSetTest, TracedRequestRunsEndpointSpanIsChildOfQueueSpan) {
  ForwardMessage message{7, "a", 1, Request{}};
  message.request.service = "s";
  message.request.statement = "get";
  message.request.max_age = std::chrono::seconds(1);
  message.request.deadline = At(1000);
  message.request.traceparent =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  pools_.OnForward("v", message, now_);
  pools_.Tick(now_);
  auto& pool = const_cast<EndpointPool&>(*pools_.Find("a"));
  link_.FinishOpening(pool, now_);
  ASSERT_EQ(link_.sent.size(), 1U);
  EXPECT_FALSE(sink_.spans.contains(kEndpointSpan));
  FakeEndpoint::Answer(pool, link_.sent[0], now_);
  pools_.Tick(now_);
  ASSERT_TRUE(sink_.spans.contains(kEndpointSpan));
  ASSERT_TRUE(sink_.spans.contains(kQueueSpan));
  EXPECT_EQ(sink_.spans[kEndpointSpan]["parent_id"],
            sink_.spans[kQueueSpan]["span_id"]);
}

}  // namespace
}  // namespace carawayhaven
