#ifndef CITRONLANE_STORAGE_DETAIL_RECORD_H_
#define CITRONLANE_STORAGE_DETAIL_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlane {

/// What a record on disk holds. The numbers are part of the format.
enum class RecordKind : uint8_t {
  kNoOpEntry = 0,
  kCommandEntry = 1,
  kMembershipEntry = 2,
  /// Term and vote: `term_` and `index_`.
  kHardState = 16,
  /// Entries from `index_` on are void.
  kTruncate = 17,
  /// A snapshot of (`index_`, `term_`) is durable; the log goes on after it.
  kSnapshotMark = 18,
  /// Head of a snapshot file: position, digest and membership.
  kSnapshotHead = 32,
  /// Body of a snapshot file.
  kSnapshotData = 33,
  /// The identity file: node id and incarnation in `index_` and `term_`.
  kIdentity = 48,
};

/// One record: a header with magic number, CRC-32C, length, kind, batch, term
/// and index, then the payload.
struct Record {
  RecordKind kind_ = RecordKind::kNoOpEntry;
  /// Whether it is the last of those synced together.
  bool ends_batch_ = false;
  /// Number of that batch; rises by one.
  uint64_t batch_ = 0;
  uint64_t term_ = 0;
  uint64_t index_ = 0;
  std::string_view payload_;
};

/// Bytes before the payload.
inline constexpr size_t kRecordHeaderBytes = 40;

/// Appends the encoded record to `out`.
void EncodeRecord(const Record& record, std::string* out);

/// Reads the record at the front of `data`, which it views, and sets `*size` to
/// its encoded length. Nothing when it is not whole or fails its checksum.
std::optional<Record> DecodeRecord(std::string_view data, size_t* size);

/// Returns the offset of the next magic number at or after `from`; npos when
/// there is none.
size_t FindRecord(std::string_view data, size_t from);

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_DETAIL_RECORD_H_
