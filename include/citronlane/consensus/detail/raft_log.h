#ifndef CITRONLANE_CONSENSUS_DETAIL_RAFT_LOG_H_
#define CITRONLANE_CONSENSUS_DETAIL_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// The in-memory log of one node: a snapshot and the entries after it, with the
/// indexes up to which they are stored, committed and applied. Not thread safe.
class RaftLog {
 public:
  /// `entries` follow `snapshot` without gaps.
  RaftLog(Snapshot snapshot, std::vector<Entry> entries);

  uint64_t first_index() const { return base_index_ + 1; }
  uint64_t last_index() const { return base_index_ + entries_.size(); }
  uint64_t last_term() const { return TermAt(last_index()); }
  uint64_t stored() const { return stored_; }
  uint64_t commit() const { return commit_; }
  uint64_t applied() const { return applied_; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

  /// Term of the entry at `index`; 0 when it is not, or no longer, in the log.
  uint64_t TermAt(uint64_t index) const;
  /// Whether the entry at `index`, or the position before the first entry, has
  /// this term.
  bool Matches(uint64_t index, uint64_t term) const;
  /// The entry at `index`, which must be in the log.
  const Entry& At(uint64_t index) const;

  /// Whether a log that ends at (`index`, `term`) is at least as up to date as
  /// this one, by Raft's election rule.
  bool IsUpToDate(uint64_t index, uint64_t term) const;

  /// Highest index at or below `index` whose term is at most `term`.
  uint64_t FindConflict(uint64_t index, uint64_t term) const;

  /// Appends a new entry of the leader and returns its index.
  uint64_t Append(Entry entry);

  /// Merges entries that follow a matching one. Returns the first index that
  /// was replaced, or 0 when none was. Never replaces committed entries.
  uint64_t Merge(absl::Span<const Entry> entries);

  /// Copies entries from `index` on, at least one when there is one, up to the
  /// limits.
  std::vector<Entry> Slice(uint64_t index,
                           size_t max_entries,
                           size_t max_bytes) const;

  /// Copies the entries that are not yet stored.
  std::vector<Entry> Unstored() const;
  /// Copies the entries that are committed but not applied.
  std::vector<Entry> Unapplied() const;

  /// Raises the commit index, never past the last entry.
  void CommitTo(uint64_t index);
  /// Records that the entries up to (`index`, `term`) are synced to disk;
  /// ignored when that entry was replaced since.
  void MarkStored(uint64_t index, uint64_t term);
  void MarkApplied(uint64_t index);

  /// Replaces the snapshot by a newer one of applied entries and drops the
  /// entries up to it, except for the last ones within both limits.
  void Compact(Snapshot snapshot, uint64_t kept_entries, size_t kept_bytes);
  /// Replaces the complete log by a snapshot of another node.
  void Reset(Snapshot snapshot);

 private:
  /// Shared with snapshot transfers in progress, which outlive a compaction.
  std::shared_ptr<const Snapshot> snapshot_;
  /// Position before the first entry, at or below the snapshot's.
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::deque<Entry> entries_;
  uint64_t stored_ = 0;
  uint64_t commit_ = 0;
  uint64_t applied_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_RAFT_LOG_H_
