#ifndef CITRONLANE_SERVING_WEIGHTED_SERVICE_H_
#define CITRONLANE_SERVING_WEIGHTED_SERVICE_H_

#include <string>

namespace citronlane {

/// A service and its weight in the distribution of a route's requests.
struct WeightedService {
  std::string service_;
  double weight_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_WEIGHTED_SERVICE_H_
