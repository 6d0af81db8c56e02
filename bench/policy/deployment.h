#ifndef CITRONLANE_BENCH_POLICY_DEPLOYMENT_H_
#define CITRONLANE_BENCH_POLICY_DEPLOYMENT_H_

#include <map>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/config/cluster_config.h"
#include "policy/pool_model.h"

namespace citronlane {

/// A deployment: mix of its traffic, and the servers that serve it.
struct Deployment {
  struct Share {
    std::string name_;
    double part_ = 0;
  };

  std::string name_;
  int gateways_ = 7;
  int domains_ = 3;
  Duration domain_distance_{};
  std::vector<PoolModel> pools_;
  std::vector<Share> accounts_;
  std::vector<Share> classes_;
  /// Pipeline by class.
  std::map<std::string, std::string> pipeline_of_;
  ClusterConfig config_;
  /// Requests per second that the engines can serve with full batches.
  double capacity_ = 0;

  const PoolModel& pool(const std::string& name) const;
};

/// A deployment with twelve model workers, four other pools and three failure
/// domains.
Deployment MakeQurak();
/// A deployment with eighteen model workers and much batch work.
Deployment MakeBrazos();

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_DEPLOYMENT_H_
