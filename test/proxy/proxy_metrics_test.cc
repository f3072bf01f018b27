#include "proxy/proxy_metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace carawayhaven {
namespace {

class ProxyMetricsText : public testing::Test {
 protected:
  Metrics metrics_;
  ProxyMetrics proxy_{metrics_};
};

// Guards against a metric that is missing from the documentation.
TEST_F(ProxyMetricsText, EachMetricIsDocumented) {
  std::ifstream file("docs/operations/metrics.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  for (const std::string& name : metrics_.Names()) {
    EXPECT_THAT(page, testing::HasSubstr("`" + name));
  }
}

// Guards against reads that did not run but count in the share of replica
// reads.
TEST_F(ProxyMetricsText, OnlyReadsThatRanCountForTheirRole) {
  Outcome outcome;
  outcome.from_replica = true;
  proxy_.CountOutcome(AccessMode::kRead, outcome, Duration(1));
  outcome.verdict = Verdict::kRan;
  proxy_.CountOutcome(AccessMode::kRead, outcome, Duration(1));
  proxy_.CountOutcome(AccessMode::kWrite, outcome, Duration(1));
  const std::string text = metrics_.FormatPrometheus();
  for (const char* line : {"carawayhaven_reads_total{role=\"replica\"} 1\n",
                           "carawayhaven_reads_total{role=\"primary\"} 0\n",
                           "carawayhaven_requests_total{verdict=\"ran\"} 2\n",
                           "request_seconds_count{access=\"read\"} 2\n"}) {
    EXPECT_THAT(text, testing::HasSubstr(line));
  }
}

}  // namespace
}  // namespace carawayhaven
