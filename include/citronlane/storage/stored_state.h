#ifndef CITRONLANE_STORAGE_STORED_STATE_H_
#define CITRONLANE_STORAGE_STORED_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/hard_state.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// Content of a control VM's data folder, as read when it is opened.
struct StoredState {
  /// Random number of the data folder, drawn when it was first used.
  uint64_t incarnation_ = 0;
  HardState hard_state_;
  /// Index 0 as long as the node belongs to no cluster.
  Snapshot snapshot_;
  /// Log entries after the snapshot.
  std::vector<Entry> entries_;
  /// Description of a truncated torn tail; empty when there was none.
  std::string truncation_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_STORED_STATE_H_
