#ifndef CITRONLANE_STORAGE_DETAIL_RECORD_H_
#define CITRONLANE_STORAGE_DETAIL_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlane {

/// Type of a record on disk. The numbers are part of the file format; the
/// entry kinds equal those of EntryKind.
enum class RecordKind : uint8_t {
  kNoOpEntry = 0,
  kCommandEntry = 1,
  kMembershipEntry = 2,
  /// Term and vote: `term_` and `index_`.
  kHardState = 16,
  /// Entries from `index_` on were truncated.
  kTruncate = 17,
  /// A snapshot of (`index_`, `term_`) is durable; the log continues after it.
  kSnapshotMark = 18,
  /// Header of a snapshot file: position, digest and membership.
  kSnapshotHead = 32,
  /// State data of a snapshot file.
  kSnapshotData = 33,
  /// The identity file: node id and incarnation in `index_` and `term_`.
  kIdentity = 48,
};

/// One record of a log, snapshot or identity file. On disk: a header with magic
/// number, CRC-32C, length, kind, flags, batch, term and index, little-endian,
/// then the payload.
struct Record {
  RecordKind kind_ = RecordKind::kNoOpEntry;
  /// Whether this is the last record of its batch. The records of a batch are
  /// written and synced together.
  bool ends_batch_ = false;
  /// Number of the batch; consecutive in a log, 0 in other files.
  uint64_t batch_ = 0;
  uint64_t term_ = 0;
  uint64_t index_ = 0;
  std::string_view payload_;
};

/// Size of an encoded record's header.
inline constexpr size_t kRecordHeaderBytes = 40;

/// Appends the encoded record to `out`.
void EncodeRecord(const Record& record, std::string* out);

/// Reads the record at the front of `data` and sets `*size` to its encoded
/// length. The record's payload points into `data`. Returns `std::nullopt` when
/// the record is incomplete or fails its checksum.
std::optional<Record> DecodeRecord(std::string_view data, size_t* size);

/// Returns the offset of the next magic number at or after `from`, or npos. The
/// bytes there need not be a valid record.
size_t FindRecord(std::string_view data, size_t from);

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_DETAIL_RECORD_H_
