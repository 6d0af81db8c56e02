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
/// to. After a call failed, every later one fails too: what reached the disk is
/// unknown then, and saying otherwise would lose committed entries. Not thread
/// safe.
class WriteAheadLog {
 public:
  /// `files` outlives the log. A segment is closed once it holds
  /// `segment_bytes`.
  WriteAheadLog(const FileSystem& files,
                std::string folder,
                uint64_t segment_bytes);
  ~WriteAheadLog();
  WriteAheadLog(const WriteAheadLog&) = delete;
  WriteAheadLog& operator=(const WriteAheadLog&) = delete;

  /// Reads the log, cuts a torn tail and begins a new segment. Call once,
  /// before all else. A damaged middle is refused with file and offset.
  std::optional<RecoveredLog> Open(Error* error);

  /// Writes one batch and syncs it once. Entries replace the stored log from
  /// the first of them on.
  bool Append(const std::optional<HardState>& hard_state,
              absl::Span<const Entry> entries,
              Error* error);

  /// Notes that a snapshot of (`index`, `term`) is durable, and removes the
  /// segments that hold nothing after it. `replaces_log` when it came from
  /// another node and no stored entry counts any more.
  bool MarkSnapshot(uint64_t index,
                    uint64_t term,
                    bool replaces_log,
                    Error* error);

  /// Syncs done so far.
  uint64_t sync_count() const { return sync_count_; }

 private:
  struct Segment {
    uint64_t number_ = 0;
    /// Highest entry index ever written to it.
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
  std::optional<FileSystem::Handle> active_;
  uint64_t active_bytes_ = 0;
  bool failed_ = false;

  HardState hard_state_;
  uint64_t mark_index_ = 0;
  uint64_t mark_term_ = 0;
  uint64_t last_index_ = 0;
  uint64_t batch_ = 1;
  /// Kept between batches, so that writing one allocates nothing.
  std::string buffer_;
  uint64_t sync_count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_WRITE_AHEAD_LOG_H_
