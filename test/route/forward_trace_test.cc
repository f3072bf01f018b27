#include <memory>
#include <string>

#include "route/request_router_fixture.h"

namespace carawayhaven {
namespace {

class RouterWithForwardTracer : public RequestRouterFixture {
 protected:
  RequestRouterOptions Options() {
    RequestRouterOptions options;
    options.forward_tracer = [this](const VmName& owner, Request& request) {
      request.traceparent += ">" + owner;
      ++started_;
      return std::shared_ptr<void>(this, [this](void*) { ++ended_; });
    };
    return options;
  }

  void SubmitTraced(Request request) {
    request.traceparent = "trace";
    traced_.Submit(
        std::move(request), [](const Outcome&) {}, now_);
  }

  int started_ = 0;
  int ended_ = 0;
  RequestRouter traced_{services_, groups_, owners_,
                        peers_,    random_, Options()};
};

// Guards against a span at the owner whose parent is the router's span instead
// of the span of the forward, and against a span that ends before the answer.
TEST_F(RouterWithForwardTracer, EachSendHasASpanUntilItsAnswer) {
  SubmitTraced(Write("w"));
  EXPECT_EQ(peers_.sent.at(0).message.request.traceparent, "trace>a-1");
  EXPECT_EQ(ended_, 0);
  traced_.OnForwardReply("a-1", group_.Handle(peers_.sent.at(0).message), now_);
  EXPECT_EQ(started_, 1);
  EXPECT_EQ(ended_, 1);
}

// Guards against a span that never ends after the owner was lost.
TEST_F(RouterWithForwardTracer, OwnerIsLostEndsTheSpan) {
  SubmitTraced(Write("w"));
  traced_.OnPeerLost("a-1", now_);
  EXPECT_EQ(ended_, 1);
  EXPECT_EQ(peers_.sent.at(1).message.request.traceparent, "trace>a-2");
}

// Guards against tracing requests that have no trace.
TEST_F(RouterWithForwardTracer, RequestWithoutTraceIsNotTraced) {
  traced_.Submit(
      Write("w"), [](const Outcome&) {}, now_);
  EXPECT_EQ(started_, 0);
}

}  // namespace
}  // namespace carawayhaven
