#include "citronlane/storage/write_ahead_log.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "citronlane/storage/detail/log_reader.h"

namespace citronlane {
namespace {

constexpr std::string_view kSuffix = ".wal";
constexpr int kHexBase = 16;
constexpr int kHexDigits = 16;

std::optional<uint64_t> SegmentNumber(std::string_view name) {
  if (name.size() <= kSuffix.size() ||
      name.substr(name.size() - kSuffix.size()) != kSuffix) {
    return std::nullopt;
  }
  const std::string digits(name.substr(0, name.size() - kSuffix.size()));
  char* end = nullptr;
  const uint64_t number = std::strtoull(digits.c_str(), &end, kHexBase);
  if (*end != '\0') {
    return std::nullopt;
  }
  return number;
}

RecordKind RecordKindOf(const Entry& entry) {
  return static_cast<RecordKind>(entry.kind_);
}

}  // namespace

WriteAheadLog::WriteAheadLog(const FileSystem& files,
                             std::string folder,
                             uint64_t segment_bytes)
    : files_(files),
      folder_(std::move(folder)),
      segment_bytes_(segment_bytes) {}

WriteAheadLog::~WriteAheadLog() {
  if (active_) {
    files_.close_(*active_);
  }
}

std::optional<RecoveredLog> WriteAheadLog::Open(Error* error) {
  RecoveredLog log;
  failed_ = !ReadSegments(&log, error) || !BeginSegment(error);
  if (failed_) {
    return std::nullopt;
  }
  return log;
}

bool WriteAheadLog::ReadSegments(RecoveredLog* log, Error* error) {
  const auto names = files_.list_(folder_, error);
  if (!names) {
    return false;
  }
  for (const std::string& name : *names) {
    if (const auto number = SegmentNumber(name)) {
      segments_.push_back(Segment{*number, 0});
    }
  }
  LogReader reader;
  for (size_t i = 0; i < segments_.size(); ++i) {
    Segment& segment = segments_[i];
    const std::string path = PathOf(segment.number_);
    if (i > 0 && segment.number_ != segments_[i - 1].number_ + 1) {
      error->message_ = "a log segment is missing before " + path;
      return false;
    }
    const auto data = files_.read_(path, error);
    if (!data) {
      return false;
    }
    const bool is_last = i + 1 == segments_.size();
    const auto valid_bytes = reader.Read(path, *data, is_last, error);
    if (!valid_bytes) {
      return false;
    }
    segment.max_index_ = reader.segment_max_index();
    if (*valid_bytes < data->size()) {
      reader.log().truncation_ = "truncating a torn tail of " +
                                 std::to_string(data->size() - *valid_bytes) +
                                 " bytes in " + path + " at offset " +
                                 std::to_string(*valid_bytes);
      if (!files_.truncate_(path, *valid_bytes, error)) {
        return false;
      }
    }
  }
  if (!reader.IsComplete()) {
    error->message_ =
        "a log segment is missing before " + PathOf(segments_.front().number_);
    return false;
  }
  *log = std::move(reader.log());
  log->is_new_ = segments_.empty();
  hard_state_ = log->hard_state_;
  snapshot_index_ = log->base_index_;
  snapshot_term_ = log->base_term_;
  last_index_ = log->base_index_ + log->entries_.size();
  next_batch_ = reader.next_batch();
  return true;
}

std::string WriteAheadLog::PathOf(uint64_t number) const {
  char name[kHexDigits + 1];
  std::snprintf(name, sizeof(name), "%016" PRIx64, number);
  return folder_ + "/" + name + std::string(kSuffix);
}

bool WriteAheadLog::BeginSegment(Error* error) {
  if (active_) {
    files_.close_(*active_);
    active_.reset();
  }
  const uint64_t number = segments_.empty() ? 1 : segments_.back().number_ + 1;
  active_ = files_.create_(PathOf(number), error);
  if (!active_) {
    return false;
  }
  segments_.push_back(Segment{number, 0});
  active_bytes_ = 0;
  return WriteBatch({HardStateRecord(), SnapshotMarkRecord()}, error) &&
         files_.sync_folder_(folder_, error);
}

Record WriteAheadLog::HardStateRecord() const {
  Record record;
  record.kind_ = RecordKind::kHardState;
  record.term_ = hard_state_.term_;
  record.index_ = hard_state_.vote_;
  return record;
}

Record WriteAheadLog::SnapshotMarkRecord() const {
  Record record;
  record.kind_ = RecordKind::kSnapshotMark;
  record.term_ = snapshot_term_;
  record.index_ = snapshot_index_;
  return record;
}

bool WriteAheadLog::WriteBatch(std::vector<Record> records, Error* error) {
  buffer_.clear();
  records.back().ends_batch_ = true;
  for (Record& record : records) {
    record.batch_ = next_batch_;
    EncodeRecord(record, &buffer_);
  }
  ++next_batch_;
  ++sync_count_;
  active_bytes_ += buffer_.size();
  return files_.write_(*active_, buffer_, error) &&
         files_.sync_(*active_, error);
}

bool WriteAheadLog::IsUsable(Error* error) const {
  if (failed_ || !active_) {
    error->message_ = "log in " + folder_ +
                      " can not be used: it is not open or a call failed";
    return false;
  }
  return true;
}

bool WriteAheadLog::Append(const std::optional<HardState>& hard_state,
                           absl::Span<const Entry> entries,
                           Error* error) {
  if (!IsUsable(error)) {
    return false;
  }
  std::vector<Record> records;
  records.reserve(entries.size() + 2);
  if (hard_state) {
    hard_state_ = *hard_state;
    records.push_back(HardStateRecord());
  }
  if (!entries.empty() && entries.front().index_ <= last_index_) {
    Record truncate;
    truncate.kind_ = RecordKind::kTruncate;
    truncate.index_ = entries.front().index_;
    records.push_back(truncate);
  }
  for (const Entry& entry : entries) {
    records.push_back(Record{RecordKindOf(entry), false, 0, entry.term_,
                             entry.index_, entry.payload_});
  }
  if (records.empty()) {
    return true;
  }
  if (!entries.empty()) {
    last_index_ = entries.back().index_;
    segments_.back().max_index_ =
        std::max(segments_.back().max_index_, last_index_);
  }
  failed_ = !WriteBatch(std::move(records), error) ||
            (active_bytes_ >= segment_bytes_ && !BeginSegment(error));
  return !failed_;
}

bool WriteAheadLog::MarkSnapshot(uint64_t index,
                                 uint64_t term,
                                 bool replaces_log,
                                 Error* error) {
  if (!IsUsable(error)) {
    return false;
  }
  snapshot_index_ = index;
  snapshot_term_ = term;
  last_index_ = replaces_log ? index : std::max(last_index_, index);
  failed_ = !WriteBatch({SnapshotMarkRecord()}, error) ||
            !BeginSegment(error) || !RemoveOldSegments(index, error);
  return !failed_;
}

bool WriteAheadLog::RemoveOldSegments(uint64_t index, Error* error) {
  bool removed = false;
  while (segments_.size() > 1 && segments_.front().max_index_ <= index) {
    if (!files_.remove_(PathOf(segments_.front().number_), error)) {
      return false;
    }
    segments_.pop_front();
    removed = true;
  }
  return !removed || files_.sync_folder_(folder_, error);
}

}  // namespace citronlane
