#ifndef CITRONLANE_CONSENSUS_SNAPSHOT_H_
#define CITRONLANE_CONSENSUS_SNAPSHOT_H_

#include <cstdint>
#include <string>

#include "citronlane/consensus/membership.h"

namespace citronlane {

/// State of the replicated state machine after the entry at `index_`, with the
/// membership in force there.
struct Snapshot {
  uint64_t index_ = 0;
  uint64_t term_ = 0;
  Membership membership_;
  std::string data_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_SNAPSHOT_H_
