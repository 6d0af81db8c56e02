#ifndef CITRONLANE_CLI_DETAIL_FLEET_REPORT_H_
#define CITRONLANE_CLI_DETAIL_FLEET_REPORT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/json/value.h"

namespace citronlane::detail {

/// Adds up the metrics of several gateways to attainment by class and account,
/// cost by stage, and refusals by reason. Not thread safe.
class FleetReport {
 public:
  /// Adds the text of one gateway's /metrics. Skips lines of other metrics and
  /// lines that can't be parsed.
  void Add(std::string_view metrics_text);

  /// Returns the sums so far:
  /// {"attainment":[{"class","account","met","missed","share"}],
  ///  "cost_by_stage":[{"pipeline","stage","class","micro_units"}],
  ///  "refusals":[{"reason","class","account","count"}]}
  JsonValue ToJson() const;

 private:
  using Labels = std::vector<std::string>;

  void AddLine(std::string_view line);
  JsonValue Attainment() const;

  std::map<Labels, double> met_;
  std::map<Labels, double> missed_;
  std::map<Labels, double> costs_;
  std::map<Labels, double> refusals_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_CLI_DETAIL_FLEET_REPORT_H_
