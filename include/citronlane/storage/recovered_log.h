#ifndef CITRONLANE_STORAGE_RECOVERED_LOG_H_
#define CITRONLANE_STORAGE_RECOVERED_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/hard_state.h"

namespace citronlane {

/// Content of a write-ahead log, as read when it is opened.
struct RecoveredLog {
  HardState hard_state_;
  /// Position of the snapshot that the entries follow.
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::vector<Entry> entries_;
  /// Description of a truncated torn tail; empty when there was none.
  std::string truncation_;
  /// Whether the folder held no log segment.
  bool is_new_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_RECOVERED_LOG_H_
