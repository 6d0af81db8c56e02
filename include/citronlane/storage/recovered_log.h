#ifndef CITRONLANE_STORAGE_RECOVERED_LOG_H_
#define CITRONLANE_STORAGE_RECOVERED_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/hard_state.h"

namespace citronlane {

/// What a write-ahead log held when it was opened.
struct RecoveredLog {
  HardState hard_state_;
  /// Snapshot position that the entries follow.
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::vector<Entry> entries_;
  /// One line when a torn tail was cut, else empty.
  std::string cut_;
  /// Whether there was no log at all.
  bool is_new_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_RECOVERED_LOG_H_
