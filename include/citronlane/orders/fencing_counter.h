#ifndef CITRONLANE_ORDERS_FENCING_COUNTER_H_
#define CITRONLANE_ORDERS_FENCING_COUNTER_H_

#include <cstdint>

#include "state.pb.h"

namespace citronlane {

/// Assigns each leadership a fencing number above all earlier ones. Replicated
/// state: every replica applies the same calls. Not thread safe.
class FencingCounter {
 public:
  /// Returns the number of the leadership of `node` in `term`; 0 if a later
  /// term, or another node in the same term, already has one. Idempotent.
  uint64_t Take(uint64_t node, uint64_t term);

  /// Highest number assigned so far; 0 for none.
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
