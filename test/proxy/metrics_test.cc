#include "proxy/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cmath>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

using testing::HasSubstr;

class MetricsText : public testing::Test {
 protected:
  Metrics metrics_;
};

TEST_F(MetricsText, CounterAndGaugeAreFormatted) {
  metrics_.GetCounter("calls_total", "Calls.", {{"verdict", "ran"}})
      .Increment(3);
  metrics_.GetGauge("sessions", "Sessions.").Set(2.5);
  EXPECT_EQ(metrics_.FormatPrometheus(),
            "# HELP calls_total Calls.\n# TYPE calls_total counter\n"
            "calls_total{verdict=\"ran\"} 3\n"
            "# HELP sessions Sessions.\n# TYPE sessions gauge\nsessions 2.5\n");
}

// Guards against a label value that breaks the text for the whole scrape.
TEST_F(MetricsText, LabelValueIsEscaped) {
  metrics_.GetCounter("c", "C.", {{"team", "a\"b\\c\nd"}});
  EXPECT_THAT(metrics_.FormatPrometheus(),
              HasSubstr("c{team=\"a\\\"b\\\\c\\nd\"} 0\n"));
}

// Guards against values outside the scale, or not finite, that get lost or
// make the sum useless.
TEST_F(MetricsText, HistogramCountsAllFiniteValues) {
  Histogram& histogram =
      metrics_.GetHistogram("wait_seconds", "Wait.", {0.001, 1, 3});
  for (const double value :
       {-1.0, 0.0, 0.005, 0.05, 0.5, 50.0, std::nan(""), HUGE_VAL}) {
    histogram.Observe(value);
  }
  EXPECT_THAT(metrics_.FormatPrometheus(),
              HasSubstr("wait_seconds_bucket{le=\"0.01\"} 3\n"
                        "wait_seconds_bucket{le=\"0.1\"} 4\n"
                        "wait_seconds_bucket{le=\"1\"} 5\n"
                        "wait_seconds_bucket{le=\"+Inf\"} 6\n"));
  EXPECT_EQ(histogram.count(), 6U);
}

TEST_F(MetricsText, SecondLookupReturnsTheSameHandle) {
  Counter& first = metrics_.GetCounter("c", "C.", {{"a", "1"}});
  for (int i = 0; i < 100; ++i) {
    metrics_.GetCounter("c", "C.", {{"a", std::to_string(i)}});
  }
  EXPECT_EQ(&metrics_.GetCounter("c", "C.", {{"a", "1"}}), &first);
}

// Guards against labels from input that grow the memory without bound.
TEST_F(MetricsText, LabelsBeyondTheBoundShareOneSeries) {
  for (std::size_t i = 0; i < 3 * Metrics::kMaxSeries; ++i) {
    metrics_.GetCounter("c", "C.", {{"a", std::to_string(i)}}).Increment();
  }
  EXPECT_EQ(metrics_.GetCounter("c", "C.", {{"a", "other"}}).value(),
            2 * Metrics::kMaxSeries);
}

TEST_F(MetricsText, MisuseThrows) {
  metrics_.GetCounter("c", "C.", {{"a", "1"}});
  EXPECT_THROW(metrics_.GetGauge("c", "C.", {{"a", "1"}}), Error);
  EXPECT_THROW(metrics_.GetCounter("c", "C.", {{"b", "1"}}), Error);
  EXPECT_THROW(metrics_.GetCounter("a b", "C."), Error);
  EXPECT_THROW(metrics_.GetCounter("d", "C.", {{"1", "1"}}), Error);
}

}  // namespace
}  // namespace carawayhaven
