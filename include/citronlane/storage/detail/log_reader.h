#ifndef CITRONLANE_STORAGE_DETAIL_LOG_READER_H_
#define CITRONLANE_STORAGE_DETAIL_LOG_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/storage/detail/record.h"
#include "citronlane/storage/recovered_log.h"

namespace citronlane {

/// Replays the segments of a write-ahead log in order. Not thread safe.
class LogReader {
 public:
  /// Replays one segment and returns the number of its valid bytes. Fewer than
  /// all means a torn tail, allowed only in the last segment. Fails, with file
  /// and offset in `error`, when records that were once synced are damaged or
  /// missing, or when a record is of an unknown kind.
  std::optional<size_t> Read(const std::string& name,
                             std::string_view data,
                             bool is_last,
                             Error* error);

  /// Moves the log's base to a durable snapshot of (`index`, `term`). Keeps the
  /// entries after it if the log holds that position with that term, else
  /// removes all entries. Does nothing for a snapshot before the base.
  void ApplySnapshotMark(uint64_t index, uint64_t term);

  /// Whether the entries follow a snapshot: false when the log's first segments
  /// are missing.
  bool IsComplete() const { return !needs_mark_; }

  RecoveredLog& log() { return log_; }
  /// Number of the next batch to be written.
  uint64_t next_batch() const { return last_batch_ + 1; }
  /// Highest entry index in the segment that was read last.
  uint64_t segment_max_index() const { return segment_max_index_; }

 private:
  bool Apply(const Record& record, Error* error);
  void Truncate(uint64_t index);
  bool ApplyEntry(const Record& record, Error* error);
  bool WasSynced(std::string_view data, size_t invalid_offset) const;
  uint64_t last_index() const {
    return log_.base_index_ + log_.entries_.size();
  }

  RecoveredLog log_;
  uint64_t last_batch_ = 0;
  bool last_ended_batch_ = true;
  uint64_t segment_max_index_ = 0;
  /// Whether no snapshot mark for the log's base has been read yet.
  bool needs_mark_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_DETAIL_LOG_READER_H_
