#include "proxy/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <tuple>
#include <variant>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

bool IsMetricName(std::string_view name) {
  if (name.empty() || std::isdigit(static_cast<unsigned char>(name[0])) != 0) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '_';
  });
}

std::string FormatNumber(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> text{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return std::string(text.data(), end);
}

std::string FormatBound(double value) {
  // Six digits hide the rounding error of the logarithmic axis.
  std::array<char, 32> text{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), value,
                    std::chars_format::general, 6);
  return std::string(text.data(), end);
}

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string FormatLabels(const MetricLabels& labels) {
  if (labels.empty()) return {};
  std::string text = "{";
  for (const auto& [name, value] : labels) {
    if (text.size() > 1) text += ',';
    text += name + "=\"" + EscapeLabel(value) + '"';
  }
  return text + '}';
}

std::vector<std::string> LabelNames(const MetricLabels& labels) {
  std::vector<std::string> names;
  for (const auto& label : labels) names.push_back(label.first);
  return names;
}

}  // namespace

class Histogram::Impl {
 public:
  explicit Impl(const HistogramScale& scale)
      : histogram_(bh::make_histogram_with(
            bh::dense_storage<std::uint64_t>(),
            LogAxis(scale.buckets, scale.min_value, scale.max_value))) {}

  void Fill(double value) { histogram_(value); }

  std::vector<Bucket> Buckets() const {
    const auto& axis = histogram_.axis();
    std::vector<Bucket> buckets;
    std::uint64_t total = histogram_.at(-1);  // the underflow bin
    for (int i = 0; i < axis.size(); ++i) {
      total += histogram_.at(i);
      buckets.push_back({axis.bin(i).upper(), total});
    }
    return buckets;
  }

 private:
  bh::histogram<std::tuple<LogAxis>, bh::dense_storage<std::uint64_t>>
      histogram_;
};

Histogram::Histogram(const HistogramScale& scale)
    : impl_(std::make_unique<Impl>(scale)) {}

Histogram::~Histogram() = default;

void Histogram::Observe(double value) {
  if (!std::isfinite(value)) return;
  // The logarithm of a negative value is NaN, which would be counted in the
  // infinite bucket.
  impl_->Fill(std::max(value, 0.0));
  ++count_;
  sum_ += value;
}

std::vector<Histogram::Bucket> Histogram::Buckets() const {
  return impl_->Buckets();
}

// All series of one metric name.
class Metrics::Family {
 public:
  Family(std::string_view name, std::string_view help, std::string_view type,
         const MetricLabels& labels)
      : name_(name),
        help_(help),
        type_(type),
        label_names_(LabelNames(labels)) {}

  bool Matches(std::string_view type, const MetricLabels& labels) const {
    return type_ == type && label_names_ == LabelNames(labels);
  }

  template <typename Metric, typename... Arguments>
  Metric& Get(MetricLabels labels, const Arguments&... arguments) {
    auto found = series_.find(labels);
    if (found == series_.end()) {
      if (series_.size() >= kMaxSeries && !labels.empty()) {
        for (auto& label : labels) label.second = kOverflowLabel;
      }
      found = series_
                  .try_emplace(std::move(labels),
                               std::make_unique<Metric>(arguments...))
                  .first;
    }
    return *std::get<std::unique_ptr<Metric>>(found->second);
  }

  void Format(std::string& text) const {
    text += "# HELP " + name_ + ' ' + help_ + "\n# TYPE " + name_ + ' ' +
            type_ + '\n';
    for (const auto& entry : series_) {
      std::visit(
          [&](const auto& metric) { FormatSeries(text, entry.first, *metric); },
          entry.second);
    }
  }

 private:
  void FormatSeries(std::string& text, const MetricLabels& labels,
                    const Counter& counter) const {
    text += name_ + FormatLabels(labels) + ' ' +
            std::to_string(counter.value()) + '\n';
  }

  void FormatSeries(std::string& text, const MetricLabels& labels,
                    const Gauge& gauge) const {
    text +=
        name_ + FormatLabels(labels) + ' ' + FormatNumber(gauge.value()) + '\n';
  }

  void FormatSeries(std::string& text, const MetricLabels& labels,
                    const Histogram& histogram) const {
    const auto add_bucket = [&](const std::string& bound, std::uint64_t count) {
      MetricLabels with_bound = labels;
      with_bound.emplace_back("le", bound);
      text += name_ + "_bucket" + FormatLabels(with_bound) + ' ' +
              std::to_string(count) + '\n';
    };
    for (const Histogram::Bucket& bucket : histogram.Buckets()) {
      add_bucket(FormatBound(bucket.upper_bound), bucket.cumulative_count);
    }
    add_bucket("+Inf", histogram.count());
    text += name_ + "_sum" + FormatLabels(labels) + ' ' +
            FormatNumber(histogram.sum()) + '\n';
    text += name_ + "_count" + FormatLabels(labels) + ' ' +
            std::to_string(histogram.count()) + '\n';
  }

  // Stored by pointer so that references stay valid.
  using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<Histogram>>;

  std::string name_;
  std::string help_;
  std::string type_;
  std::vector<std::string> label_names_;
  std::map<MetricLabels, Metric> series_;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

Counter& Metrics::GetCounter(std::string_view name, std::string_view help,
                             const MetricLabels& labels) {
  return GetFamily(name, help, "counter", labels).Get<Counter>(labels);
}

Gauge& Metrics::GetGauge(std::string_view name, std::string_view help,
                         const MetricLabels& labels) {
  return GetFamily(name, help, "gauge", labels).Get<Gauge>(labels);
}

Histogram& Metrics::GetHistogram(std::string_view name, std::string_view help,
                                 const HistogramScale& scale,
                                 const MetricLabels& labels) {
  return GetFamily(name, help, "histogram", labels)
      .Get<Histogram>(labels, scale);
}

std::vector<std::string> Metrics::Names() const {
  std::vector<std::string> names;
  for (const auto& family : families_) names.push_back(family.first);
  return names;
}

std::string Metrics::FormatPrometheus() const {
  std::string text;
  for (const auto& family : families_) family.second->Format(text);
  return text;
}

Metrics::Family& Metrics::GetFamily(std::string_view name,
                                    std::string_view help,
                                    std::string_view type,
                                    const MetricLabels& labels) {
  auto found = families_.find(name);
  if (found == families_.end()) {
    bool well_formed = IsMetricName(name);
    for (const auto& label : labels) {
      well_formed = well_formed && IsMetricName(label.first);
    }
    if (!well_formed) {
      throw Error("malformed metric or label name: " + std::string(name));
    }
    found = families_
                .try_emplace(std::string(name),
                             std::make_unique<Family>(name, help, type, labels))
                .first;
  }
  if (!found->second->Matches(type, labels)) {
    throw Error("metric used with another type or other labels: " +
                std::string(name));
  }
  return *found->second;
}

}  // namespace carawayhaven
