#include "citronlane/gateway/request_summary.h"

namespace citronlane {

double RequestSummary::Cost() const {
  double cost = 0;
  for (const StageCost& stage : costs_) {
    cost += stage.cost_;
  }
  return cost;
}

}  // namespace citronlane
