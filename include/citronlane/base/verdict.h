#ifndef CITRONLANE_BASE_VERDICT_H_
#define CITRONLANE_BASE_VERDICT_H_

#include <string_view>

namespace citronlane {

/// Whether any stage of a request has run. Values are ordered: the verdict of a
/// request never decreases.
enum class Verdict {
  kNotRun = 0,
  kMayHaveRun = 1,
  kRan = 2,
};

/// Returns the higher of the two verdicts. Thread safe.
constexpr Verdict RaiseVerdict(Verdict current, Verdict next) {
  return next > current ? next : current;
}

/// Returns the stable name used in responses, logs and the refusal journal:
/// "not_run", "may_have_run" or "ran". Thread safe.
std::string_view ToString(Verdict verdict);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_VERDICT_H_
