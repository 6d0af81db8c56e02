#ifndef CITRONLANE_CONFIG_CLUSTER_CONFIG_H_
#define CITRONLANE_CONFIG_CLUSTER_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/config/account_config.h"
#include "citronlane/config/class_config.h"
#include "citronlane/config/pipeline_config.h"
#include "citronlane/config/pool_config.h"
#include "citronlane/config/service_config.h"

namespace citronlane {

/// One complete version of the configuration that operators apply: what is
/// served and within which limits, not the settings of a process. Entries are
/// keyed by name. Must not be changed once it is shared between threads; when
/// it comes from ParseClusterConfig, all references between entries are valid.
struct ClusterConfig {
  uint64_t version_ = 0;
  std::map<std::string, ClassConfig> classes_;
  std::map<std::string, AccountConfig> accounts_;
  std::map<std::string, PoolConfig> pools_;
  std::map<std::string, PipelineConfig> pipelines_;
  std::map<std::string, ServiceConfig> services_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_CLUSTER_CONFIG_H_
