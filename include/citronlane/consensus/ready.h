#ifndef CITRONLANE_CONSENSUS_READY_H_
#define CITRONLANE_CONSENSUS_READY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/hard_state.h"
#include "citronlane/consensus/message.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// Work a RaftNode hands to its driver, to be carried out in this order: store
/// and sync `snapshot_`, `hard_state_` and `entries_`; send `messages_`;
/// install `snapshot_`; apply `committed_`; call RaftNode::Advance.
struct Ready {
  std::optional<HardState> hard_state_;
  /// Replace the stored log from the first of these on.
  std::vector<Entry> entries_;
  std::optional<Snapshot> snapshot_;
  /// May be sent at once, before the sync (appends of a leader).
  std::vector<Message> early_messages_;
  /// Sent only once everything above is on synced disk.
  std::vector<Message> messages_;
  std::vector<Entry> committed_;
  /// Contexts of quorum reads now confirmed, each with the index that must be
  /// applied before the read is served.
  std::vector<std::pair<uint64_t, uint64_t>> confirmed_reads_;

  bool IsEmpty() const;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_READY_H_
