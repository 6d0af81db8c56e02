#include "citronlane/storage/detail/log_reader.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

std::string Location(const std::string& name, size_t offset) {
  return name + " at offset " + std::to_string(offset);
}

}  // namespace

std::optional<size_t> LogReader::Read(const std::string& name,
                                      std::string_view data,
                                      bool is_last,
                                      Error* error) {
  segment_max_index_ = 0;
  size_t offset = 0;
  while (offset < data.size()) {
    size_t size = 0;
    const auto record = DecodeRecord(data.substr(offset), &size);
    if (!record) {
      if (!is_last || WasSynced(data, offset)) {
        error->message_ = "damaged log record in " + Location(name, offset);
        return std::nullopt;
      }
      return offset;
    }
    if (!Apply(*record, error)) {
      error->message_ += " in " + Location(name, offset);
      return std::nullopt;
    }
    last_batch_ = record->batch_;
    last_ended_batch_ = record->ends_batch_;
    offset += size;
  }
  return offset;
}

// A batch is written only after the previous one was synced. The invalid bytes
// were therefore synced if a valid record of a later batch follows them;
// otherwise they belong to a write that a crash or power loss interrupted.
bool LogReader::WasSynced(std::string_view data, size_t invalid_offset) const {
  const uint64_t invalid_batch =
      last_ended_batch_ ? last_batch_ + 1 : last_batch_;
  for (size_t at = FindRecord(data, invalid_offset + 1);
       at != std::string_view::npos; at = FindRecord(data, at + 1)) {
    size_t size = 0;
    const auto record = DecodeRecord(data.substr(at), &size);
    if (record && record->batch_ > invalid_batch) {
      return true;
    }
  }
  return false;
}

bool LogReader::Apply(const Record& record, Error* error) {
  switch (record.kind_) {
    case RecordKind::kNoOpEntry:
    case RecordKind::kCommandEntry:
    case RecordKind::kMembershipEntry:
      return ApplyEntry(record, error);
    case RecordKind::kHardState:
      log_.hard_state_ = HardState{record.term_, record.index_};
      return true;
    case RecordKind::kTruncate:
      Truncate(record.index_);
      return true;
    case RecordKind::kSnapshotMark:
      ApplySnapshotMark(record.index_, record.term_);
      return true;
    default:
      error->message_ = "unknown log record kind " +
                        std::to_string(static_cast<int>(record.kind_));
      return false;
  }
}

void LogReader::Truncate(uint64_t index) {
  if (index > log_.base_index_) {
    log_.entries_.resize(
        std::min<size_t>(log_.entries_.size(), index - log_.base_index_ - 1));
    return;
  }
  log_.entries_.clear();
  if (needs_mark_) {
    log_.base_index_ = std::max<uint64_t>(index, 1) - 1;
  }
}

bool LogReader::ApplyEntry(const Record& record, Error* error) {
  segment_max_index_ = std::max(segment_max_index_, record.index_);
  if (log_.entries_.empty() && record.index_ > last_index() + 1) {
    // The earlier segments were removed after a snapshot; its mark is in a
    // later record.
    log_.base_index_ = record.index_ - 1;
    log_.base_term_ = 0;
    needs_mark_ = true;
  }
  if (record.index_ == 0 || record.index_ != last_index() + 1) {
    error->message_ = "entry " + std::to_string(record.index_) +
                      " does not follow entry " + std::to_string(last_index());
    return false;
  }
  log_.entries_.push_back(Entry{record.index_, record.term_,
                                static_cast<EntryKind>(record.kind_),
                                std::string(record.payload_)});
  return true;
}

void LogReader::ApplySnapshotMark(uint64_t index, uint64_t term) {
  if (index < log_.base_index_ || (index == log_.base_index_ && !needs_mark_)) {
    return;
  }
  needs_mark_ = false;
  if (index == log_.base_index_) {
    log_.base_term_ = term;
    return;
  }
  const uint64_t position = index - log_.base_index_;
  const bool held = position <= log_.entries_.size() &&
                    log_.entries_[position - 1].term_ == term;
  if (held) {
    log_.entries_.erase(
        log_.entries_.begin(),
        log_.entries_.begin() + static_cast<ptrdiff_t>(position));
  } else {
    log_.entries_.clear();
  }
  log_.base_index_ = index;
  log_.base_term_ = term;
}

}  // namespace citronlane
