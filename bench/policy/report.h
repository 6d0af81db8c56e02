#ifndef CITRONLANE_BENCH_POLICY_REPORT_H_
#define CITRONLANE_BENCH_POLICY_REPORT_H_

#include <iosfwd>

#include "absl/types/span.h"
#include "policy/run_result.h"

namespace citronlane {

/// Writes a table for each deployment, with a row for each scenario and policy.
void WriteMarkdown(absl::Span<const RunResult> results, std::ostream* out);

/// Writes all counts as JSON in the format of Google Benchmark, with an entry
/// for each run.
void WriteJson(absl::Span<const RunResult> results, std::ostream* out);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_REPORT_H_
