#ifndef CITRONLANE_BENCH_POLICY_REPORT_H_
#define CITRONLANE_BENCH_POLICY_REPORT_H_

#include <iosfwd>

#include "absl/types/span.h"
#include "policy/run_result.h"

namespace citronlane {

/// Writes one table for each deployment: scenario and policy a row.
void WriteMarkdown(absl::Span<const RunResult> results, std::ostream* out);

/// Writes everything that was counted as JSON, one entry a run in the shape of
/// Google Benchmark's: a name and figures.
void WriteJson(absl::Span<const RunResult> results, std::ostream* out);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_REPORT_H_
