#ifndef CITRONLANE_BENCH_POLICY_FAULT_H_
#define CITRONLANE_BENCH_POLICY_FAULT_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// A fault or a maintenance operation at one time of a scenario.
struct Fault {
  enum class Kind {
    /// The servers are slower by `factor_` until `end_`.
    kSlow,
    /// The servers stop during calls and never reply.
    kStop,
    /// The servers reply to every call with an error at once.
    kErrors,
    /// The servers refuse connections until they restart.
    kDown,
    /// No server or gateway of a failure domain responds until they restart.
    kDomainLoss,
    /// The pool's servers drain and restart one by one.
    kRollingRestart,
  };

  Kind kind_ = Kind::kSlow;
  Duration begin_{};
  Duration end_{};
  std::string pool_;
  /// Index of the first server, or of the failure domain, and number of
  /// servers.
  int first_ = 0;
  int count_ = 1;
  double factor_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_FAULT_H_
