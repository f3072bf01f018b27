#include "proxy/tracing.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "proxy/span_sink.h"

namespace carawayhaven {
namespace {

constexpr char kSampledParent[] =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
constexpr char kUnsampledParent[] =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

class MalformedTraceparent : public testing::TestWithParam<const char*> {};

// Guards against a malformed header that is passed on to the next hop.
TEST_P(MalformedTraceparent, IsRefused) {
  EXPECT_FALSE(TraceContext::Parse(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Table, MalformedTraceparent,
    testing::Values("", "00",
                    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0",
                    "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                    "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                    "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                    "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
                    "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
                    "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));

TEST(Traceparent, IsReadAndFormattedBack) {
  EXPECT_EQ(TraceContext::Parse(kSampledParent).value().Format(),
            kSampledParent);
  EXPECT_EQ(
      TraceContext::Parse(std::string("cc") + (kSampledParent + 2) + "-new")
          .value()
          .Format(),
      kSampledParent);
}

// Guards against span lines that are cut by log lines when both go to one file.
TEST(StreamSpanSinkTest, EachLineIsFlushed) {
  class CountFlushes : public std::stringbuf {
   public:
    int sync() override {
      EXPECT_EQ(str().back(), '\n');
      ++flushes_;
      return 0;
    }
    int flushes_ = 0;
  } buffer;
  std::ostream out(&buffer);
  StreamSpanSink sink(out);
  sink.Write("{}");
  sink.Write("{}");
  EXPECT_EQ(buffer.flushes_, 2);
}

class VectorSink : public SpanSink {
 public:
  void Write(std::string_view line) override {
    if (failing_) throw std::runtime_error("sink is full");
    spans_.push_back(nlohmann::json::parse(line));
  }

  std::vector<nlohmann::json> spans_;
  bool failing_ = false;
};

struct HeaderMap : opentracing::HTTPHeadersWriter,
                   opentracing::HTTPHeadersReader {
  opentracing::expected<void> Set(
      opentracing::string_view key,
      opentracing::string_view value) const override {
    headers[key] = value;
    return {};
  }
  opentracing::expected<void> ForeachKey(
      std::function<opentracing::expected<void>(opentracing::string_view,
                                                opentracing::string_view)>
          visit) const override {
    for (const auto& [key, value] : headers) {
      if (auto result = visit(key, value); !result) return result;
    }
    return {};
  }

  mutable std::map<std::string, std::string> headers;
};

class TracingOfAll : public testing::Test {
 protected:
  std::mt19937_64 random_{7};
  VectorSink sink_;
  Tracing tracing_{1.0, sink_, random_};
};

// Guards against hops that lose the trace or their parent.
TEST_F(TracingOfAll, HopsShareTheTraceAndNameTheirParents) {
  auto router = tracing_.StartRequest(kRouterSpan, kSampledParent);
  auto queue = tracing_.StartHop(kQueueSpan, Tracing::TraceparentOf(*router));
  queue->SetTag("service", "registro-1");
  queue->Finish();
  router->Finish();
  ASSERT_EQ(sink_.spans_.size(), 2U);
  EXPECT_EQ(sink_.spans_[0]["operation"], "queue");
  EXPECT_EQ(sink_.spans_[0]["tags"]["service"], "registro-1");
  EXPECT_EQ(sink_.spans_[0]["parent_id"], sink_.spans_[1]["span_id"]);
  EXPECT_EQ(sink_.spans_[1]["parent_id"], "b7ad6b7169203331");
  EXPECT_EQ(sink_.spans_[0]["trace_id"], "0af7651916cd43dd8448eb211c80319c");
}

// Guards against a proxy that overrides the sampling decision of the root of
// the trace.
TEST_F(TracingOfAll, UnsampledParentIsNotRecorded) {
  auto span = tracing_.StartRequest(kRouterSpan, kUnsampledParent);
  EXPECT_EQ(Tracing::TraceparentOf(*span), "");
  span->Finish();
  tracing_.StartHop(kQueueSpan, "")->Finish();
  EXPECT_TRUE(sink_.spans_.empty());
}

TEST_F(TracingOfAll, SpanIsWrittenOnceAlsoWithoutFinish) {
  { auto span = tracing_.StartRequest(kRouterSpan, ""); }
  auto span = tracing_.StartRequest(kRouterSpan, "");
  span->Finish();
  span->Finish();
  EXPECT_EQ(sink_.spans_.size(), 2U);
  EXPECT_FALSE(sink_.spans_[0].contains("parent_id"));
}

// Guards against a broken sink that ends the process from a noexcept function.
TEST_F(TracingOfAll, SinkThrowsCountsDroppedSpan) {
  sink_.failing_ = true;
  tracing_.StartRequest(kRouterSpan, "")->Finish();
  EXPECT_EQ(tracing_.dropped_spans(), 1U);
}

TEST_F(TracingOfAll, OpenTracingInterfaceInjectsAndExtracts) {
  auto parent = tracing_.StartSpan("parent");
  HeaderMap carrier;
  const opentracing::HTTPHeadersWriter& writer = carrier;
  ASSERT_TRUE(tracing_.Inject(parent->context(), writer));
  EXPECT_EQ(carrier.headers["traceparent"], Tracing::TraceparentOf(*parent));
  const opentracing::HTTPHeadersReader& reader = carrier;
  const auto extracted = tracing_.Extract(reader);
  ASSERT_TRUE(extracted && *extracted);
  auto child =
      tracing_.StartSpan("child", {opentracing::ChildOf(extracted->get())});
  EXPECT_EQ(child->context().ToTraceID(), parent->context().ToTraceID());
  carrier.headers["traceparent"] = "broken";
  EXPECT_FALSE(tracing_.Extract(reader));
  std::stringstream stream;
  ASSERT_TRUE(tracing_.Inject(parent->context(), stream));
  EXPECT_TRUE(tracing_.Extract(stream));
}

// Guards against proxies that record different parts of the same trace.
TEST(TraceSampling, DependsOnTheTraceIdAloneAndMeetsTheRatio) {
  std::mt19937_64 random(11);
  constexpr int kTraces = 20'000;
  int sampled = 0;
  for (int i = 0; i < kTraces; ++i) {
    const TraceContext context{random(), random(), random(), false};
    TraceContext other_span = context;
    other_span.span_id = random();
    ASSERT_EQ(IsSampled(context, 0.1), IsSampled(other_span, 0.1));
    EXPECT_FALSE(IsSampled(context, 0));
    EXPECT_TRUE(IsSampled(context, 1));
    sampled += IsSampled(context, 0.1) ? 1 : 0;
  }
  EXPECT_NEAR(sampled, 0.1 * kTraces, 200);
}

}  // namespace
}  // namespace carawayhaven
