#ifndef CITRONLANE_BASE_VERDICT_H_
#define CITRONLANE_BASE_VERDICT_H_

#include <string_view>

namespace citronlane {

/// Says whether any stage of a request may have run. The order is meaningful:
/// a request's verdict only ever rises.
enum class Verdict {
  kNotRun = 0,
  kMayHaveRun = 1,
  kRan = 2,
};

/// Returns the later of the two verdicts, so that a verdict never falls back.
/// Thread safe.
constexpr Verdict RaiseVerdict(Verdict current, Verdict next) {
  return next > current ? next : current;
}

/// Returns the stable text used in answers, logs and the refusal journal:
/// "not_run", "may_have_run" or "ran". Thread safe.
std::string_view ToString(Verdict verdict);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_VERDICT_H_
