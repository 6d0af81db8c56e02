#ifndef CITRONLANE_STORAGE_STORED_STATE_H_
#define CITRONLANE_STORAGE_STORED_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/hard_state.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// What a control VM's data folder held when it was opened.
struct StoredState {
  /// Drawn when the folder was first used.
  uint64_t incarnation_ = 0;
  HardState hard_state_;
  /// Index 0 as long as the node belongs to no cluster.
  Snapshot snapshot_;
  std::vector<Entry> entries_;
  /// One line when a torn tail was cut, else empty.
  std::string cut_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_STORED_STATE_H_
