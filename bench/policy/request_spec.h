#ifndef CITRONLANE_BENCH_POLICY_REQUEST_SPEC_H_
#define CITRONLANE_BENCH_POLICY_REQUEST_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

struct ClassConfig;
struct PipelineConfig;

/// A request of the traffic, which is the same for every policy.
struct RequestSpec {
  TimePoint arrival_{};
  /// Random number that chooses one of the gateways that are up.
  uint64_t gateway_draw_ = 0;
  std::string account_;
  const ClassConfig* class_ = nullptr;
  const PipelineConfig* pipeline_ = nullptr;
  uint64_t prefix_ = 0;
  /// Number of tokens that the engine generates, and requested maximum.
  uint32_t tokens_ = 0;
  uint32_t max_tokens_ = 0;
  /// Service time of each stage relative to its pool's mean.
  std::vector<double> work_;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_REQUEST_SPEC_H_
