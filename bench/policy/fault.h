#ifndef CITRONLANE_BENCH_POLICY_FAULT_H_
#define CITRONLANE_BENCH_POLICY_FAULT_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// A failure or an operation during a scenario.
struct Fault {
  enum class Kind {
    /// The servers are slower by `factor_` until the end.
    kSlow,
    /// The servers hang: they accept calls and never reply.
    kStop,
    /// The servers reply to every call at once with an error.
    kErrors,
    /// The servers refuse connections until they are restarted.
    kDown,
    /// The gateways of a failure domain fail, and its servers are unreachable
    /// until they are restarted.
    kDomainLoss,
    /// The pool's servers drain and restart one by one.
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
