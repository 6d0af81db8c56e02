#ifndef CITRONLANE_BENCH_POLICY_REQUEST_SPEC_H_
#define CITRONLANE_BENCH_POLICY_REQUEST_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

struct ClassConfig;
struct PipelineConfig;

/// One request of the traffic, the same for every policy.
struct RequestSpec {
  TimePoint arrival_{};
  /// Random number that selects one of the gateways that are up.
  uint64_t gateway_draw_ = 0;
  std::string account_;
  const ClassConfig* class_ = nullptr;
  const PipelineConfig* pipeline_ = nullptr;
  uint64_t prefix_ = 0;
  /// Tokens that the engine will generate, and the largest number requested.
  uint32_t tokens_ = 0;
  uint32_t max_tokens_ = 0;
  /// Time of each stage relative to its pool's mean.
  std::vector<double> work_;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_REQUEST_SPEC_H_
