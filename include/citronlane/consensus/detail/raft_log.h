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

/// The log of one node in memory: a snapshot and the entries after it, and how
/// far they are stored, committed and applied. Not thread safe.
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

  /// Term of the entry at `index`; 0 when it is not in the log (any more).
  uint64_t TermAt(uint64_t index) const;
  bool Matches(uint64_t index, uint64_t term) const;
  /// The entry at `index`, which must be in the log.
  const Entry& At(uint64_t index) const;

  /// Whether a log that ends at (`index`, `term`) holds all this one does, as
  /// far as elections can tell.
  bool IsUpToDate(uint64_t index, uint64_t term) const;

  /// Highest index at or below `index` whose term is at most `term`.
  uint64_t FindConflict(uint64_t index, uint64_t term) const;

  /// Adds the leader's new entry and returns its index.
  uint64_t Append(Entry entry);

  /// Takes in entries that follow a matching one. Returns the first index that
  /// was replaced, or 0 when nothing was. Never replaces committed entries.
  uint64_t Merge(absl::Span<const Entry> entries);

  /// Copies entries from `index` on, at least one when there is one, up to the
  /// limits.
  std::vector<Entry> Slice(uint64_t index,
                           size_t max_entries,
                           size_t max_bytes) const;

  /// Copies what is not yet stored.
  std::vector<Entry> Unstored() const;
  /// Copies what is committed but not applied.
  std::vector<Entry> Unapplied() const;

  /// Raises the commit index, never past the last entry.
  void CommitTo(uint64_t index);
  /// Entries up to (`index`, `term`) are on synced disk.
  void MarkStored(uint64_t index, uint64_t term);
  void MarkApplied(uint64_t index);

  /// Takes a snapshot of what is applied and drops the entries up to it, but
  /// for the last ones within both limits.
  void Compact(Snapshot snapshot, uint64_t kept_entries, size_t kept_bytes);
  /// Replaces the whole log by a snapshot of another node.
  void Reset(Snapshot snapshot);

 private:
  /// Shared with transfers in progress, which outlive a compaction.
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
