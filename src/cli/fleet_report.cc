#include "citronlane/cli/detail/fleet_report.h"

#include <cstdlib>
#include <optional>
#include <utility>

#include "citronlane/observe/metric_names.h"

namespace citronlane::detail {
namespace {

struct Sample {
  std::string name_;
  std::vector<std::string> labels_;
  double value_ = 0;
};

// Reads the quoted value at the start of `text` and removes it from there.
std::optional<std::string> ConsumeQuoted(std::string_view* text) {
  if (text->empty() || text->front() != '"') {
    return std::nullopt;
  }
  std::string value;
  for (size_t i = 1; i < text->size(); ++i) {
    const char c = (*text)[i];
    if (c == '"') {
      text->remove_prefix(i + 1);
      return value;
    }
    const bool escaped = c == '\\' && i + 1 < text->size();
    value.push_back(escaped ? (*text)[++i] : c);
  }
  return std::nullopt;
}

// Parses `name{label="value",...} number`. Gateways write labels in the order
// of the metric's definition, so their names are skipped.
std::optional<Sample> ParseSample(std::string_view line) {
  Sample sample;
  const size_t open = line.find('{');
  if (open == std::string_view::npos) {
    return std::nullopt;
  }
  sample.name_ = std::string(line.substr(0, open));
  line.remove_prefix(open);
  while (!line.empty() && line.front() != '}') {
    const size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    line.remove_prefix(equals + 1);
    std::optional<std::string> value = ConsumeQuoted(&line);
    if (!value) {
      return std::nullopt;
    }
    sample.labels_.push_back(*std::move(value));
  }
  sample.value_ = std::strtod(
      std::string(line.substr(line.empty() ? 0 : 1)).c_str(), nullptr);
  return sample;
}

double ValueOf(const std::map<std::vector<std::string>, double>& sums,
               const std::vector<std::string>& labels) {
  const auto found = sums.find(labels);
  return found == sums.end() ? 0 : found->second;
}

JsonValue Row(absl::Span<const std::string_view> names,
              const std::vector<std::string>& labels) {
  JsonValue row = JsonValue::Object();
  for (size_t i = 0; i < names.size(); ++i) {
    row.Set(names[i], JsonValue::String(labels[i]));
  }
  return row;
}

JsonValue Table(const Metric& metric,
                std::string_view value_name,
                const std::map<std::vector<std::string>, double>& sums) {
  JsonValue table = JsonValue::Array();
  for (const auto& [labels, value] : sums) {
    JsonValue row = Row(metric.labels_, labels);
    row.Set(value_name, JsonValue::Number(value));
    table.Append(std::move(row));
  }
  return table;
}

}  // namespace

void FleetReport::Add(std::string_view metrics_text) {
  while (!metrics_text.empty()) {
    const size_t end = metrics_text.find('\n');
    AddLine(metrics_text.substr(0, end));
    metrics_text.remove_prefix(
        end == std::string_view::npos ? metrics_text.size() : end + 1);
  }
}

void FleetReport::AddLine(std::string_view line) {
  const std::optional<Sample> sample = ParseSample(line);
  if (!sample) {
    return;
  }
  const auto add = [&sample](const Metric& metric,
                             std::map<Labels, double>* sums) {
    if (sample->name_ == metric.name_ &&
        sample->labels_.size() == metric.labels_.size()) {
      (*sums)[sample->labels_] += sample->value_;
    }
  };
  add(kTargetsMetTotal, &met_);
  add(kTargetsMissedTotal, &missed_);
  add(kCostTotal, &costs_);
  add(kRefusalsTotal, &refusals_);
}

JsonValue FleetReport::Attainment() const {
  std::map<Labels, double> all = met_;
  for (const auto& [labels, count] : missed_) {
    all[labels] += count;
  }
  JsonValue table = JsonValue::Array();
  for (const auto& [labels, count] : all) {
    const double met = ValueOf(met_, labels);
    JsonValue row = Row(kTargetsMetTotal.labels_, labels);
    row.Set("met", JsonValue::Number(met));
    row.Set("missed", JsonValue::Number(count - met));
    row.Set("share", JsonValue::Number(count > 0 ? met / count : 0));
    table.Append(std::move(row));
  }
  return table;
}

JsonValue FleetReport::ToJson() const {
  JsonValue report = JsonValue::Object();
  report.Set("attainment", Attainment());
  report.Set("cost_by_stage", Table(kCostTotal, "micro_units", costs_));
  report.Set("refusals", Table(kRefusalsTotal, "count", refusals_));
  return report;
}

}  // namespace citronlane::detail
