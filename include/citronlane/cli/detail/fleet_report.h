#ifndef CITRONLANE_CLI_DETAIL_FLEET_REPORT_H_
#define CITRONLANE_CLI_DETAIL_FLEET_REPORT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/json/value.h"

namespace citronlane::detail {

/// Sums the metrics of several gateways into attainment by class and account,
/// and cost by stage. Not thread safe.
class FleetReport {
 public:
  /// Takes the text of one gateway's /metrics; lines of other metrics and lines
  /// that can't be read are left out.
  void Add(std::string_view metrics_text);

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
