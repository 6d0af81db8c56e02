#ifndef CITRONLANE_BENCH_POLICY_FAULT_H_
#define CITRONLANE_BENCH_POLICY_FAULT_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Something that goes wrong, or is done, at one time of a scenario.
struct Fault {
  enum class Kind {
    /// The servers are slower by `factor_` until the end.
    kSlow,
    /// The servers stop mid-work and never answer.
    kStop,
    /// The servers answer every call at once with an error.
    kErrors,
    /// The servers refuse connections; a restart ends it.
    kDown,
    /// A failure domain is silent, with its gateways; a restart ends it.
    kDomainLoss,
    /// The pool's servers leave, drain and restart one by one.
    kRollingRestart,
  };

  Kind kind_ = Kind::kSlow;
  Duration begin_{};
  Duration end_{};
  std::string pool_;
  /// First server and number of servers; for a domain its index.
  int first_ = 0;
  int count_ = 1;
  double factor_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_FAULT_H_
