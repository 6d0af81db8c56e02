#ifndef CITRONLANE_CONSENSUS_HARD_STATE_H_
#define CITRONLANE_CONSENSUS_HARD_STATE_H_

#include <cstdint>

namespace citronlane {

/// Raft state that must be synced to disk before a node replies to a vote
/// request or an append.
struct HardState {
  uint64_t term_ = 0;
  /// Id of the node that got this node's vote in `term_`; 0 if none did.
  uint64_t vote_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_HARD_STATE_H_
