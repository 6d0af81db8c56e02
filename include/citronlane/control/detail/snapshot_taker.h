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

/// Replaces the log by a snapshot once enough was applied since the last one.
/// Not thread safe: belongs to whoever drives the RaftNode.
class SnapshotTaker {
 public:
  /// Returns the state's data.
  using TakeHook = std::function<std::string()>;

  /// A snapshot is due after `interval` entries or `bytes` of them. Without
  /// a hook none is.
  SnapshotTaker(uint64_t interval, uint64_t bytes, TakeHook take);

  /// The state is that of a stored snapshot with this index.
  void OnInstalled(uint64_t index) { index_ = index; }
  /// An entry with that many bytes was applied.
  void OnApplied(size_t bytes) { bytes_since_ += bytes; }

  /// Takes a snapshot if one is due; false with the reason when the disk
  /// fails.
  bool TakeIfDue(RaftNode* node, ReplicaStorage* storage, Error* error);
  /// Takes one in any case. Precondition: there is a hook.
  bool Take(RaftNode* node, ReplicaStorage* storage, Error* error);

  /// Index of the last snapshot; 0 for none.
  uint64_t index() const { return index_; }
  /// Whether bytes were applied that it may not hold.
  bool has_news() const { return bytes_since_ != 0; }

 private:
  const uint64_t interval_;
  const uint64_t bytes_;
  const TakeHook take_;
  uint64_t index_ = 0;
  uint64_t bytes_since_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_SNAPSHOT_TAKER_H_
