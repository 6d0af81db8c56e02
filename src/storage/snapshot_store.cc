#include "citronlane/storage/snapshot_store.h"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <utility>

#include "citronlane/consensus/membership_codec.h"
#include "citronlane/storage/detail/durable_file.h"
#include "citronlane/storage/detail/record.h"

namespace citronlane {
namespace {

constexpr std::string_view kPrefix = "snapshot-";
constexpr int kHexDigits = 16;

std::string FileName(uint64_t index) {
  char digits[kHexDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016" PRIx64, index);
  return std::string(kPrefix) + digits;
}

bool IsSnapshotName(std::string_view name) {
  return name.size() == kPrefix.size() + kHexDigits &&
         name.substr(0, kPrefix.size()) == kPrefix;
}

bool IsUnfinished(std::string_view name) {
  return name.size() > kUnfinishedSuffix.size() &&
         name.substr(name.size() - kUnfinishedSuffix.size()) ==
             kUnfinishedSuffix;
}

std::string DigestOf(std::string_view data) {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits(data.data(), data.size()));
  return std::string(reinterpret_cast<const char*>(canonical.digest),
                     sizeof(canonical.digest));
}

std::string Encode(const Snapshot& snapshot) {
  const std::string head =
      DigestOf(snapshot.data_) + EncodeMembership(snapshot.membership_);
  std::string content;
  content.reserve(2 * kRecordHeaderBytes + head.size() + snapshot.data_.size());
  EncodeRecord(Record{RecordKind::kSnapshotHead, false, 0, snapshot.term_,
                      snapshot.index_, head},
               &content);
  EncodeRecord(Record{RecordKind::kSnapshotData, true, 0, snapshot.term_,
                      snapshot.index_, snapshot.data_},
               &content);
  return content;
}

std::optional<Snapshot> Decode(std::string_view content) {
  size_t size = 0;
  const auto head = DecodeRecord(content, &size);
  if (!head || head->kind_ != RecordKind::kSnapshotHead ||
      head->payload_.size() < sizeof(XXH128_canonical_t)) {
    return std::nullopt;
  }
  content.remove_prefix(size);
  const auto data = DecodeRecord(content, &size);
  if (!data || data->kind_ != RecordKind::kSnapshotData ||
      size != content.size()) {
    return std::nullopt;
  }
  const auto digest = head->payload_.substr(0, sizeof(XXH128_canonical_t));
  Error ignored;
  auto membership = DecodeMembership(
      head->payload_.substr(sizeof(XXH128_canonical_t)), &ignored);
  if (!membership || DigestOf(data->payload_) != digest) {
    return std::nullopt;
  }
  return Snapshot{head->index_, head->term_, std::move(*membership),
                  std::string(data->payload_)};
}

}  // namespace

SnapshotStore::SnapshotStore(const FileSystem& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

bool SnapshotStore::Save(const Snapshot& snapshot, Error* error) {
  return WriteDurableFile(files_, folder_, FileName(snapshot.index_),
                          Encode(snapshot), error);
}

std::optional<Snapshot> SnapshotStore::LoadNewest(Error* error) const {
  const auto names = files_.list_(folder_, error);
  if (!names) {
    return std::nullopt;
  }
  std::string newest;
  for (const std::string& name : *names) {
    if (IsSnapshotName(name)) {
      newest = name;
    }
  }
  if (newest.empty()) {
    return Snapshot{};
  }
  const auto content = files_.read_(folder_ + "/" + newest, error);
  if (!content) {
    return std::nullopt;
  }
  auto snapshot = Decode(*content);
  if (!snapshot || FileName(snapshot->index_) != newest) {
    error->message_ = "damaged snapshot " + folder_ + "/" + newest;
    return std::nullopt;
  }
  return snapshot;
}

bool SnapshotStore::RemoveBelow(uint64_t index, Error* error) {
  const auto names = files_.list_(folder_, error);
  if (!names) {
    return false;
  }
  const std::string oldest_kept = FileName(index);
  for (const std::string& name : *names) {
    const bool old = IsSnapshotName(name) && name < oldest_kept;
    if ((old || IsUnfinished(name)) &&
        !files_.remove_(folder_ + "/" + name, error)) {
      return false;
    }
  }
  return true;
}

}  // namespace citronlane
