#ifndef CITRONLANE_ORDERS_FENCING_COUNTER_H_
#define CITRONLANE_ORDERS_FENCING_COUNTER_H_

#include <cstdint>

#include "state.pb.h"

namespace citronlane {

/// Gives each leadership a fencing number above all before. Pure. Not thread
/// safe.
class FencingCounter {
 public:
  /// Returns the number of this leadership; 0 when a later term has taken one.
  /// A resend gets the same number.
  uint64_t Take(uint64_t node, uint64_t term);

  /// Newest number given; 0 for none.
  uint64_t present() const { return number_; }

  void Save(wire::FencingSnapshot* snapshot) const;
  void Load(const wire::FencingSnapshot& snapshot);

 private:
  uint64_t number_ = 0;
  uint64_t node_ = 0;
  uint64_t term_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_FENCING_COUNTER_H_
