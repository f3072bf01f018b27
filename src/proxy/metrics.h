#ifndef CARAWAYHAVEN_PROXY_METRICS_H_
#define CARAWAYHAVEN_PROXY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayhaven {

/// A value that only increases.
class Counter {
 public:
  void Increment(std::uint64_t amount = 1) { value_ += amount; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// A value that can increase and decrease.
class Gauge {
 public:
  void Set(double value) { value_ = value; }
  void Add(double amount) { value_ += amount; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

/// Bounds of a histogram whose buckets are equally wide on a logarithmic scale.
/// Preconditions: 0 < min_value < max_value, buckets > 0.
struct HistogramScale {
  double min_value = 0;
  double max_value = 0;
  unsigned buckets = 0;
};

/// Distribution of a quantity. Values below the scale are counted in the first
/// bucket, values above it in the infinite bucket.
class Histogram {
 public:
  explicit Histogram(const HistogramScale& scale);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  /// Counts a value. A value that is not finite is ignored.
  void Observe(double value);

  /// Upper bound of a bucket and the number of values up to it.
  struct Bucket {
    double upper_bound = 0;
    std::uint64_t cumulative_count = 0;
  };

  /// Returns the buckets in ascending order, without the infinite one.
  std::vector<Bucket> Buckets() const;
  std::uint64_t count() const { return count_; }
  double sum() const { return sum_; }

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

/// Label names and values, in the order in which they are printed.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Registry of all metrics of the process. Users of a metric look it up once
/// and keep the reference, which stays valid as long as the registry exists.
/// Not thread-safe; all calls must come from the thread of the event loop.
class Metrics {
 public:
  /// Maximum number of label combinations per metric: 1,200 databases with a
  /// few combinations each would exceed the memory and transfer budget of a VM.
  static constexpr std::size_t kMaxSeries = 512;
  /// Label value of the series that counts all combinations beyond kMaxSeries.
  static constexpr std::string_view kOverflowLabel = "other";

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Each function returns the metric with that name and those labels and
  /// creates it on the first call. Throws Error when the name is malformed or
  /// was used with another type or other label names.
  Counter& GetCounter(std::string_view name, std::string_view help,
                      const MetricLabels& labels = {});
  Gauge& GetGauge(std::string_view name, std::string_view help,
                  const MetricLabels& labels = {});
  Histogram& GetHistogram(std::string_view name, std::string_view help,
                          const HistogramScale& scale,
                          const MetricLabels& labels = {});

  /// Names of all metrics in alphabetical order.
  std::vector<std::string> Names() const;

  /// Returns all metrics in the Prometheus text format 0.0.4.
  std::string FormatPrometheus() const;

 private:
  class Family;

  Family& GetFamily(std::string_view name, std::string_view help,
                    std::string_view type, const MetricLabels& labels);

  std::map<std::string, std::unique_ptr<Family>, std::less<>> families_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_METRICS_H_
