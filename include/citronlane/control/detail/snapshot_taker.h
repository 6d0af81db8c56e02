#ifndef CITRONLANE_CONTROL_DETAIL_SNAPSHOT_TAKER_H_
#define CITRONLANE_CONTROL_DETAIL_SNAPSHOT_TAKER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "citronlane/base/error.h"

namespace citronlane {

class RaftNode;
class ReplicaStorage;

/// Takes a snapshot and compacts the log once enough entries were applied since
/// the last one. Not thread safe: used on the thread that drives the RaftNode.
class SnapshotTaker {
 public:
  /// Returns the complete applied state.
  using TakeHook = std::function<std::string()>;

  /// A snapshot is due after `interval` entries or `bytes` of commands. Without
  /// a hook none is ever due.
  SnapshotTaker(uint64_t interval, uint64_t bytes, TakeHook take);

  /// Records that the state is that of a stored snapshot with this index.
  void OnInstalled(uint64_t index) { index_ = index; }
  /// Records that an entry with a command of this size was applied.
  void OnApplied(size_t bytes) { bytes_since_ += bytes; }

  /// Takes a snapshot if one is due. Returns false and sets `error` when the
  /// disk fails.
  bool TakeIfDue(RaftNode* node, ReplicaStorage* storage, Error* error);
  /// Takes a snapshot, due or not. Returns false and sets `error` when the disk
  /// fails. Precondition: the hook is set.
  bool Take(RaftNode* node, ReplicaStorage* storage, Error* error);

  /// Index of the last snapshot; 0 for none.
  uint64_t index() const { return index_; }
  /// Whether commands were applied since the last snapshot that was taken.
  bool has_unsaved_commands() const { return bytes_since_ != 0; }

 private:
  const uint64_t interval_;
  const uint64_t bytes_;
  const TakeHook take_;
  uint64_t index_ = 0;
  uint64_t bytes_since_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_SNAPSHOT_TAKER_H_
