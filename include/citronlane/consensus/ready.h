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

/// Work that a RaftNode returns to its driver, to be carried out in this order:
/// store and sync `snapshot_`, `hard_state_` and `entries_`; send `messages_`;
/// install `snapshot_`; apply `committed_`; call RaftNode::Advance.
struct Ready {
  std::optional<HardState> hard_state_;
  /// Entries to store; they replace the stored log from the first of them on.
  std::vector<Entry> entries_;
  std::optional<Snapshot> snapshot_;
  /// A leader's messages, which may be sent before the sync.
  std::vector<Message> early_messages_;
  /// Messages to send only once everything above is synced to disk.
  std::vector<Message> messages_;
  std::vector<Entry> committed_;
  /// Contexts of the confirmed reads (RaftNode::StartRead), each with the index
  /// that must be applied before the read is served.
  std::vector<std::pair<uint64_t, uint64_t>> confirmed_reads_;

  bool IsEmpty() const;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_READY_H_
