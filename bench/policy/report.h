#ifndef CITRONLANE_BENCH_POLICY_REPORT_H_
#define CITRONLANE_BENCH_POLICY_REPORT_H_

#include <iosfwd>

#include "absl/types/span.h"
#include "policy/run_result.h"

namespace citronlane {

/// Writes one table for each deployment, with a row for each run.
void WriteMarkdown(absl::Span<const RunResult> results, std::ostream* out);

/// Writes all counts as JSON, one entry for each run in the format of Google
/// Benchmark: a name and values.
void WriteJson(absl::Span<const RunResult> results, std::ostream* out);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_REPORT_H_
