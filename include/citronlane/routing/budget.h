#ifndef CITRONLANE_ROUTING_BUDGET_H_
#define CITRONLANE_ROUTING_BUDGET_H_

#include <cstdint>

namespace citronlane {

/// Bounds extra calls (hedges or retries) to a share of the first calls: each
/// first call earns `ratio` of an extra one, up to `burst`. Not thread safe.
class Budget {
 public:
  Budget(double ratio, double burst);

  /// A first call was made.
  void Earn();
  /// Takes one extra call; false when the budget is spent.
  bool TrySpend();

  double available() const { return available_; }

 private:
  const double ratio_;
  const double burst_;
  double available_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_BUDGET_H_
