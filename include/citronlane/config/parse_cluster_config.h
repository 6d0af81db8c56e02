#ifndef CITRONLANE_CONFIG_PARSE_CLUSTER_CONFIG_H_
#define CITRONLANE_CONFIG_PARSE_CLUSTER_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "citronlane/config/cluster_config.h"
#include "citronlane/json/fault.h"

namespace citronlane {

/// Parses a complete configuration document (JSON with comments) and checks
/// every key, type, range and reference. `version` becomes the version of the
/// result. If the document is invalid, returns nullopt and fills `faults` with
/// all validation errors, sorted by line; otherwise clears `faults`, which must
/// not be null. Thread safe.
std::optional<ClusterConfig> ParseClusterConfig(std::string_view document,
                                                uint64_t version,
                                                std::vector<Fault>* faults);

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_PARSE_CLUSTER_CONFIG_H_
