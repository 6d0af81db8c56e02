#ifndef CITRONLANE_STORAGE_WRITE_AHEAD_LOG_H_
#define CITRONLANE_STORAGE_WRITE_AHEAD_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/error.h"
#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/hard_state.h"
#include "citronlane/storage/detail/record.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/storage/recovered_log.h"

namespace citronlane {

/// Log entries and hard state on disk, in segment files that are only appended
/// to. After a failed call every later call fails too: it is then unknown which
/// writes reached the disk, and acknowledging more could lose committed
/// entries. Not thread safe.
class WriteAheadLog {
 public:
  /// `files` must outlive the log. A segment is closed once it holds
  /// `segment_bytes` or more.
  WriteAheadLog(const FileSystem& files,
                std::string folder,
                uint64_t segment_bytes);
  ~WriteAheadLog();
  WriteAheadLog(const WriteAheadLog&) = delete;
  WriteAheadLog& operator=(const WriteAheadLog&) = delete;

  /// Reads the log, truncates a torn tail and begins a new segment. Must be
  /// called once, before the other methods. Fails when a segment is missing, or
  /// when a record before the tail is damaged; `error` then names file and
  /// offset.
  std::optional<RecoveredLog> Open(Error* error);

  /// Writes one batch and syncs it once, unless there is nothing to write. The
  /// stored log is truncated before the first of `entries`, which have
  /// consecutive indexes.
  bool Append(const std::optional<HardState>& hard_state,
              absl::Span<const Entry> entries,
              Error* error);

  /// Records that a snapshot of (`index`, `term`) is durable, and removes the
  /// oldest segments as long as they hold no entry after it. `replaces_log`
  /// must be set when the snapshot came from another node and the entries
  /// stored here are void.
  bool MarkSnapshot(uint64_t index,
                    uint64_t term,
                    bool replaces_log,
                    Error* error);

  /// Number of batches written and synced so far, including failed ones.
  uint64_t sync_count() const { return sync_count_; }

 private:
  struct Segment {
    uint64_t number_ = 0;
    /// Highest entry index ever written to the segment.
    uint64_t max_index_ = 0;
  };

  std::string PathOf(uint64_t number) const;
  bool ReadSegments(RecoveredLog* log, Error* error);
  bool BeginSegment(Error* error);
  bool WriteBatch(std::vector<Record> records, Error* error);
  bool RemoveOldSegments(uint64_t index, Error* error);
  bool IsUsable(Error* error) const;
  Record HardStateRecord() const;
  Record SnapshotMarkRecord() const;

  const FileSystem& files_;
  const std::string folder_;
  const uint64_t segment_bytes_;
  std::deque<Segment> segments_;
  /// Handle of the segment that is written to.
  std::optional<FileSystem::Handle> active_;
  uint64_t active_bytes_ = 0;
  bool failed_ = false;

  HardState hard_state_;
  uint64_t snapshot_index_ = 0;
  uint64_t snapshot_term_ = 0;
  uint64_t last_index_ = 0;
  uint64_t next_batch_ = 1;
  /// Encoded batch; kept so that its memory is reused.
  std::string buffer_;
  uint64_t sync_count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_WRITE_AHEAD_LOG_H_
