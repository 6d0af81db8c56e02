#ifndef CITRONLANE_BENCH_POLICY_SHORT_FORM_H_
#define CITRONLANE_BENCH_POLICY_SHORT_FORM_H_

#include <cstdint>
#include <vector>

#include "policy/bound.h"

namespace citronlane {

/// Runs a few scenarios of one deployment, which takes a few seconds. Returns
/// counts, and ratios to the baseline of the same run. The same seed gives the
/// same values on every machine.
std::vector<Bound> RunShortForm(uint64_t seed);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_SHORT_FORM_H_
