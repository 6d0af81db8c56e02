#ifndef CITRONLANE_ROUTING_BUDGET_H_
#define CITRONLANE_ROUTING_BUDGET_H_

#include <cstdint>

namespace citronlane {

/// Token bucket that bounds extra calls (hedges or retries) to a fraction of
/// the first calls: each first call earns `ratio` of an extra one, up to
/// `burst`. Starts full. Not thread safe.
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
