#ifndef CITRONLANE_CONSENSUS_HARD_STATE_H_
#define CITRONLANE_CONSENSUS_HARD_STATE_H_

#include <cstdint>

namespace citronlane {

/// What must be on synced disk before a node answers a vote or an append.
struct HardState {
  uint64_t term_ = 0;
  /// Node voted for in that term; 0 for none.
  uint64_t vote_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_HARD_STATE_H_
