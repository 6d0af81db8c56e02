#ifndef CITRONLANE_BENCH_POLICY_BACKENDS_H_
#define CITRONLANE_BENCH_POLICY_BACKENDS_H_

#include <map>
#include <memory>
#include <string>

#include "policy/server_model.h"

namespace citronlane {

/// All backend servers of a run, by id.
using Backends = std::map<std::string, std::unique_ptr<ServerModel>>;

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_BACKENDS_H_
