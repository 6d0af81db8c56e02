#include "citronlane/observe/metrics.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "citronlane/json/parse.h"
#include "citronlane/observe/metric_names.h"

namespace citronlane {
namespace {

namespace bh = boost::histogram;

constexpr double kMicrosecondsPerSecond = 1e6;
// Follows each label value in the key of a series.
constexpr char kSeparator = '\x1f';
constexpr std::string_view kOther = "other";

// Upper bounds of the histogram buckets in seconds. A time equal to a bound
// counts in the next bucket, since Boost.Histogram's intervals are half open.
constexpr std::array<double, 18> kBucketBoundsSeconds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,    0.8,   1.2,    2,     4,    8,     15,   30,  60};

using Histogram = decltype(bh::make_histogram_with(
    std::vector<uint64_t>(),
    bh::axis::variable<>(kBucketBoundsSeconds)));

Histogram MakeHistogram() {
  return bh::make_histogram_with(std::vector<uint64_t>(),
                                 bh::axis::variable<>(kBucketBoundsSeconds));
}

// Value of a metric for one combination of label values.
struct Series {
  // Value of a counter or gauge; for a histogram the sum of its observations in
  // seconds.
  double value_ = 0;
  std::optional<Histogram> histogram_;
};

// Keyed by the result of JoinLabels.
using SeriesMap = std::map<std::string, Series, std::less<>>;

struct Shard {
  mutable std::mutex mutex_;
  std::map<const Metric*, SeriesMap> metrics_;
};

std::string JoinLabels(Metrics::Labels labels) {
  std::string key;
  for (const std::string_view label : labels) {
    key.append(label);
    key.push_back(kSeparator);
  }
  return key;
}

std::string OtherLabels(const Metric& metric) {
  std::string key;
  for (size_t i = 0; i < metric.labels_.size(); ++i) {
    key.append(kOther);
    key.push_back(kSeparator);
  }
  return key;
}

// Returns the entry of kAllMetrics. A constant that is defined in a header may
// have another address in each source file, so `&metric` is no usable key.
const Metric* Canonical(const Metric& metric) {
  for (const Metric* known : kAllMetrics) {
    if (known->name_ == metric.name_) {
      return known;
    }
  }
  return nullptr;
}

// Returns the number of the calling thread, in the order of first calls.
size_t ThreadNumber() {
  static std::atomic<size_t> next{0};
  thread_local const size_t own = next++;
  return own;
}

std::string Escaped(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      text.push_back('\\');
    }
    text.append(c == '\n' ? "\\n" : std::string(1, c));
  }
  return text;
}

// Returns a="x",b="y" without braces.
std::string LabelText(const Metric& metric, std::string_view key) {
  std::ostringstream text;
  for (const std::string_view name : metric.labels_) {
    const size_t end = key.find(kSeparator);
    text << (name == metric.labels_.front() ? "" : ",") << name << "=\""
         << Escaped(key.substr(0, end)) << '"';
    key.remove_prefix(end == std::string_view::npos ? key.size() : end + 1);
  }
  return text.str();
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? labels : "{" + labels + "}";
}

std::string NumberText(double number) {
  return WriteJson(JsonValue::Number(number));
}

std::string_view KindText(Metric::Kind kind) {
  switch (kind) {
    case Metric::Kind::kCounter:
      return "counter";
    case Metric::Kind::kGauge:
      return "gauge";
    case Metric::Kind::kHistogram:
      return "histogram";
  }
  return "untyped";
}

uint64_t CountOf(const Histogram& histogram) {
  uint64_t count = 0;
  for (const uint64_t cell : bh::unsafe_access::storage(histogram)) {
    count += cell;
  }
  return count;
}

void WriteHistogram(const Metric& metric,
                    const std::string& labels,
                    const Series& series,
                    std::ostream& text) {
  const std::string prefix = labels.empty() ? labels : labels + ",";
  uint64_t cumulative = 0;
  for (size_t i = 0; i < kBucketBoundsSeconds.size(); ++i) {
    // Index -1 is the underflow bucket, with the times below the first bound.
    cumulative += series.histogram_->at(static_cast<int>(i) - 1);
    text << metric.name_ << "_bucket{" << prefix << "le=\""
         << NumberText(kBucketBoundsSeconds[i]) << "\"} " << cumulative << '\n';
  }
  const uint64_t count = CountOf(*series.histogram_);
  text << metric.name_ << "_bucket{" << prefix << "le=\"+Inf\"} " << count
       << '\n'
       << metric.name_ << "_sum" << Braced(labels) << ' '
       << NumberText(series.value_) << '\n'
       << metric.name_ << "_count" << Braced(labels) << ' ' << count << '\n';
}

void WriteMetric(const Metric& metric,
                 const SeriesMap& all,
                 std::ostream& text) {
  text << "# HELP " << metric.name_ << ' ' << metric.help_ << "\n# TYPE "
       << metric.name_ << ' ' << KindText(metric.kind_) << '\n';
  for (const auto& [key, series] : all) {
    const std::string labels = LabelText(metric, key);
    if (series.histogram_) {
      WriteHistogram(metric, labels, series, text);
    } else {
      text << metric.name_ << Braced(labels) << ' ' << NumberText(series.value_)
           << '\n';
    }
  }
}

void AddSeries(const Series& series, Series* sum) {
  sum->value_ += series.value_;
  if (!series.histogram_) {
    return;
  }
  if (sum->histogram_) {
    *sum->histogram_ += *series.histogram_;
  } else {
    sum->histogram_ = series.histogram_;
  }
}

}  // namespace

class Metrics::Impl {
 public:
  Impl(size_t max_series, size_t shards)
      : max_series_(max_series), shards_(shards) {}

  size_t OwnShard() const { return ThreadNumber() % shards_.size(); }

  // Calls `update` on the series under its shard's lock.
  template <typename Update>
  void Change(const Metric& metric,
              Labels labels,
              size_t shard_index,
              const Update& update);
  std::map<const Metric*, SeriesMap> Sum() const;

 private:
  Series* FindOrAdd(const Metric& metric, std::string key, Shard* shard) const;

  const size_t max_series_;
  std::vector<Shard> shards_;
};

template <typename Update>
void Metrics::Impl::Change(const Metric& metric,
                           Labels labels,
                           size_t shard_index,
                           const Update& update) {
  const Metric* known = Canonical(metric);
  if (known == nullptr || labels.size() != known->labels_.size()) {
    return;
  }
  Shard& shard = shards_[shard_index];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  update(FindOrAdd(*known, JoinLabels(labels), &shard));
}

// The maximum applies to each shard by itself, so that no lock has to cover all
// shards.
Series* Metrics::Impl::FindOrAdd(const Metric& metric,
                                 std::string key,
                                 Shard* shard) const {
  SeriesMap& all = shard->metrics_[&metric];
  const auto found = all.find(key);
  if (found != all.end()) {
    return &found->second;
  }
  if (all.size() < max_series_) {
    return &all[std::move(key)];
  }
  shard->metrics_[Canonical(kMetricSeriesDroppedTotal)][""].value_ += 1;
  return &all[OtherLabels(metric)];
}

std::map<const Metric*, SeriesMap> Metrics::Impl::Sum() const {
  std::map<const Metric*, SeriesMap> sum;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    for (const auto& [metric, all] : shard.metrics_) {
      for (const auto& [key, series] : all) {
        AddSeries(series, &sum[metric][key]);
      }
    }
  }
  return sum;
}

Metrics::Metrics(size_t max_series_per_metric, size_t shards)
    : impl_(std::make_unique<Impl>(max_series_per_metric, shards)) {}

Metrics::~Metrics() = default;

void Metrics::Count(const Metric& metric, Labels labels, double amount) {
  impl_->Change(metric, labels, impl_->OwnShard(),
                [amount](Series* series) { series->value_ += amount; });
}

void Metrics::Observe(const Metric& metric, Labels labels, Duration time) {
  const double seconds =
      static_cast<double>(time.count()) / kMicrosecondsPerSecond;
  impl_->Change(metric, labels, impl_->OwnShard(), [seconds](Series* series) {
    if (!series->histogram_) {
      series->histogram_ = MakeHistogram();
    }
    (*series->histogram_)(seconds);
    series->value_ += seconds;
  });
}

// Gauges are stored in the first shard only: the last write wins, whatever
// thread made it.
void Metrics::Set(const Metric& metric, Labels labels, double value) {
  impl_->Change(metric, labels, 0,
                [value](Series* series) { series->value_ = value; });
}

double Metrics::Value(const Metric& metric, Labels labels) const {
  const auto sum = impl_->Sum();
  const auto all = sum.find(Canonical(metric));
  if (all == sum.end()) {
    return 0;
  }
  const auto series = all->second.find(JoinLabels(labels));
  if (series == all->second.end()) {
    return 0;
  }
  return series->second.histogram_
             ? static_cast<double>(CountOf(*series->second.histogram_))
             : series->second.value_;
}

std::string Metrics::Text() const {
  const auto sum = impl_->Sum();
  std::ostringstream text;
  for (const Metric* metric : kAllMetrics) {
    const auto all = sum.find(metric);
    if (all != sum.end()) {
      WriteMetric(*metric, all->second, text);
    }
  }
  return text.str();
}

}  // namespace citronlane
