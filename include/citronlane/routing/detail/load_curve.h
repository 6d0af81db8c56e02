#ifndef CITRONLANE_ROUTING_DETAIL_LOAD_CURVE_H_
#define CITRONLANE_ROUTING_DETAIL_LOAD_CURVE_H_

#include <cstddef>
#include <vector>

#include "citronlane/routing/detail/decayed_mean.h"

namespace citronlane {

/// Learned time of one unit of work as a function of the calls that a server
/// has beside it. It makes no assumption on how a server shares itself (slots,
/// batches, queue): it interpolates what was seen. Not thread safe.
class LoadCurve {
 public:
  LoadCurve();

  void Add(double load, double time);
  /// Time at `load`. 0 while nothing was seen. Beyond the highest load seen
  /// each call more adds `per_call`.
  double At(double load, double per_call) const;
  /// The same, proportional to load + 1 beyond the highest load seen.
  double At(double load) const;
  /// Mean load of the highest bucket seen; 0 while nothing was seen.
  double HighestLoad() const;
  void Scale(double factor);
  size_t count() const { return count_; }

 private:
  std::vector<DecayedMean> times_;
  std::vector<DecayedMean> loads_;
  size_t count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_LOAD_CURVE_H_
