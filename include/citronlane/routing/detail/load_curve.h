#ifndef CITRONLANE_ROUTING_DETAIL_LOAD_CURVE_H_
#define CITRONLANE_ROUTING_DETAIL_LOAD_CURVE_H_

#include <cstddef>
#include <vector>

#include "citronlane/routing/detail/decayed_mean.h"

namespace citronlane {

/// Learned time of one unit of work as a function of the server's other calls.
/// It makes no assumption on how a server schedules them (slots, batches,
/// queue): it interpolates observations. Not thread safe.
class LoadCurve {
 public:
  LoadCurve();

  void Add(double load, double time);
  /// Time at `load`; 0 without observations. Beyond the highest observed load,
  /// each further call adds `per_call`.
  double At(double load, double per_call) const;
  /// The same, proportional to load + 1 beyond the highest observed load.
  double At(double load) const;
  /// Mean load in the highest bucket with observations; 0 without any.
  double HighestLoad() const;
  /// Multiplies all times by `factor`.
  void Scale(double factor);
  size_t count() const { return count_; }

 private:
  std::vector<DecayedMean> times_;
  std::vector<DecayedMean> loads_;
  size_t count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_LOAD_CURVE_H_
