#include "citronlane/control/detail/snapshot_taker.h"

#include <utility>

#include "citronlane/consensus/raft_node.h"
#include "citronlane/storage/replica_storage.h"

namespace citronlane {

SnapshotTaker::SnapshotTaker(uint64_t interval, uint64_t bytes, TakeHook take)
    : interval_(interval), bytes_(bytes), take_(std::move(take)) {}

bool SnapshotTaker::TakeIfDue(RaftNode* node,
                              ReplicaStorage* storage,
                              Error* error) {
  const bool is_due =
      node->applied_index() >= index_ + interval_ || bytes_since_ >= bytes_;
  return !is_due || !take_ || Take(node, storage, error);
}

bool SnapshotTaker::Take(RaftNode* node,
                         ReplicaStorage* storage,
                         Error* error) {
  const uint64_t applied = node->applied_index();
  Snapshot snapshot{applied, node->TermAt(applied),
                    node->membership_at(applied), take_()};
  if (!storage->SaveSnapshot(snapshot, false, error)) {
    return false;
  }
  index_ = applied;
  bytes_since_ = 0;
  node->Compact(std::move(snapshot));
  return true;
}

}  // namespace citronlane
