#include "citronlane/storage/replica_storage.h"

#include <algorithm>
#include <utility>

#include "citronlane/storage/detail/durable_file.h"
#include "citronlane/storage/detail/log_reader.h"
#include "citronlane/storage/detail/record.h"

namespace citronlane {
namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kLockName = "lock";
// Payload of the identity record once the node is a member of a cluster.
constexpr std::string_view kMemberPayload = "member";

}  // namespace

ReplicaStorage::ReplicaStorage(FileSystem files,
                               std::string folder,
                               uint64_t segment_bytes,
                               IncarnationHook draw_incarnation)
    : files_(std::move(files)),
      folder_(std::move(folder)),
      draw_incarnation_(std::move(draw_incarnation)),
      log_(files_, folder_, segment_bytes),
      snapshots_(files_, folder_) {}

ReplicaStorage::~ReplicaStorage() {
  if (lock_) {
    files_.close_(*lock_);
  }
}

std::optional<StoredState> ReplicaStorage::Open(uint64_t id, Error* error) {
  id_ = id;
  if (!files_.make_folder_(folder_, error)) {
    return std::nullopt;
  }
  lock_ = files_.lock_(folder_, error);
  if (!lock_ || !OpenIdentity(error)) {
    return std::nullopt;
  }
  auto snapshot = snapshots_.LoadNewest(error);
  if (!snapshot) {
    return std::nullopt;
  }
  auto log = log_.Open(error);
  if (!log || !Reconcile(*log, *snapshot, error)) {
    return std::nullopt;
  }
  StoredState state;
  state.incarnation_ = incarnation_;
  state.hard_state_ = log->hard_state_;
  state.truncation_ = log->truncation_;
  LogReader merged;
  merged.log() = std::move(*log);
  merged.ApplySnapshotMark(snapshot->index_, snapshot->term_);
  state.entries_ = std::move(merged.log().entries_);
  state.snapshot_ = std::move(*snapshot);
  return state;
}

bool ReplicaStorage::OpenIdentity(Error* error) {
  const auto names = files_.list_(folder_, error);
  if (!names) {
    return false;
  }
  const std::string name(kIdentityName);
  if (std::find(names->begin(), names->end(), name) == names->end()) {
    for (const std::string& other : *names) {
      if (other != kLockName &&
          other != name + std::string(kUnfinishedSuffix)) {
        error->message_ = "identity file is missing in " + folder_;
        return false;
      }
    }
    incarnation_ = draw_incarnation_();
    return SaveIdentity(error);
  }
  const auto content = files_.read_(folder_ + "/" + name, error);
  if (!content) {
    return false;
  }
  size_t size = 0;
  const auto record = DecodeRecord(*content, &size);
  if (!record || record->kind_ != RecordKind::kIdentity) {
    error->message_ = "damaged identity file " + folder_ + "/" + name;
    return false;
  }
  belongs_to_other_ = record->index_ != id_;
  if (belongs_to_other_) {
    error->message_ = folder_ + " belongs to node " +
                      std::to_string(record->index_) + ", not to node " +
                      std::to_string(id_);
    return false;
  }
  incarnation_ = record->term_;
  is_member_ = record->payload_ == kMemberPayload;
  return true;
}

bool ReplicaStorage::SaveIdentity(Error* error) {
  std::string content;
  EncodeRecord(Record{RecordKind::kIdentity, true, 0, incarnation_, id_,
                      is_member_ ? kMemberPayload : std::string_view()},
               &content);
  return WriteDurableFile(files_, folder_, std::string(kIdentityName), content,
                          error);
}

// Completes a SaveSnapshot that a crash interrupted between two of its steps.
// Any other missing file is lost data, and an error.
bool ReplicaStorage::Reconcile(const RecoveredLog& log,
                               const Snapshot& snapshot,
                               Error* error) {
  if (is_member_ && (log.is_new_ || snapshot.index_ == 0)) {
    error->message_ = "log or snapshot is missing in " + folder_;
    return false;
  }
  if (snapshot.index_ < log.base_index_) {
    error->message_ = "the log in " + folder_ + " follows snapshot " +
                      std::to_string(log.base_index_) + ", which is missing";
    return false;
  }
  if (snapshot.index_ == 0) {
    return true;
  }
  if (snapshot.index_ > log.base_index_) {
    const uint64_t last = log.base_index_ + log.entries_.size();
    const bool held =
        snapshot.index_ <= last &&
        log.entries_[snapshot.index_ - log.base_index_ - 1].term_ ==
            snapshot.term_;
    if (!log_.MarkSnapshot(snapshot.index_, snapshot.term_, !held, error)) {
      return false;
    }
  }
  if (!is_member_) {
    is_member_ = true;
    if (!SaveIdentity(error)) {
      return false;
    }
  }
  return snapshots_.RemoveBelow(snapshot.index_, error);
}

bool ReplicaStorage::Append(const std::optional<HardState>& hard_state,
                            absl::Span<const Entry> entries,
                            Error* error) {
  return log_.Append(hard_state, entries, error);
}

bool ReplicaStorage::SaveSnapshot(const Snapshot& snapshot,
                                  bool replaces_log,
                                  Error* error) {
  if (!snapshots_.Save(snapshot, error) ||
      !log_.MarkSnapshot(snapshot.index_, snapshot.term_, replaces_log,
                         error)) {
    return false;
  }
  if (!is_member_) {
    is_member_ = true;
    if (!SaveIdentity(error)) {
      return false;
    }
  }
  return snapshots_.RemoveBelow(snapshot.index_, error);
}

}  // namespace citronlane
