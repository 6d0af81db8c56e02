#ifndef CITRONLANE_CONSENSUS_ENTRY_H_
#define CITRONLANE_CONSENSUS_ENTRY_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Type of a log entry's payload.
enum class EntryKind : uint8_t {
  /// Appended by a new leader so that it can commit in its own term; empty.
  kNoOp = 0,
  /// A command of the replicated state machine.
  kCommand = 1,
  /// An encoded Membership.
  kMembership = 2,
};

/// One entry of the replicated log.
struct Entry {
  uint64_t index_ = 0;
  uint64_t term_ = 0;
  EntryKind kind_ = EntryKind::kNoOp;
  std::string payload_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_ENTRY_H_
