#include <utility>

#include "citronlane/consensus/detail/raft_impl.h"
#include "citronlane/consensus/membership_codec.h"

namespace citronlane {
namespace {

// A part of a snapshot that got no reply for this many heartbeat intervals is
// sent again.
constexpr int kResendIntervalHeartbeats = 4;

}  // namespace

void RaftNode::Impl::SendSnapshotPart(uint64_t id, Progress* progress) {
  const Snapshot& snapshot = *progress->snapshot_;
  Message message;
  message.kind_ = MessageKind::kSnapshotPart;
  message.to_ = id;
  message.log_index_ = snapshot.index_;
  message.log_term_ = snapshot.term_;
  message.context_ = rounds_.current();
  message.offset_ = progress->offset_;
  message.data_ =
      snapshot.data_.substr(progress->offset_, options_.snapshot_part_bytes_);
  message.last_part_ =
      progress->offset_ + message.data_.size() == snapshot.data_.size();
  if (message.last_part_) {
    message.entries_.push_back(Entry{snapshot.index_, snapshot.term_,
                                     EntryKind::kMembership,
                                     EncodeMembership(snapshot.membership_)});
  }
  progress->part_sent_ = now_;
  Send(std::move(message));
}

void RaftNode::Impl::ResendLostParts() {
  for (auto& [id, progress] : progress_) {
    if (progress.mode_ == Progress::Mode::kSnapshot &&
        now_ >= progress.part_sent_ +
                    kResendIntervalHeartbeats * options_.heartbeat_interval_) {
      SendSnapshotPart(id, &progress);
    }
  }
}

void RaftNode::Impl::HandleSnapshotPart(const Message& message) {
  RecordLeaderContact(message.from_);
  if (log_.Matches(message.log_index_, message.log_term_)) {
    log_.CommitTo(message.log_index_);
  }
  if (message.log_index_ <= log_.commit()) {
    incoming_.reset();
    AcknowledgeAppend(message, log_.commit());
    return;
  }
  if (!incoming_ || incoming_->from_ != message.from_ ||
      incoming_->index_ != message.log_index_) {
    incoming_ = IncomingSnapshot{message.from_, message.log_index_, ""};
  }
  if (message.offset_ == incoming_->data_.size()) {
    incoming_->data_ += message.data_;
    if (message.last_part_) {
      InstallSnapshot(message);
      return;
    }
  }
  // The leader continues from this offset, whichever part it sent.
  Message reply = Reply(message, MessageKind::kSnapshotReply);
  reply.log_index_ = message.log_index_;
  reply.offset_ = incoming_->data_.size();
  Send(std::move(reply));
}

void RaftNode::Impl::InstallSnapshot(const Message& last_part) {
  Snapshot snapshot;
  snapshot.index_ = last_part.log_index_;
  snapshot.term_ = last_part.log_term_;
  snapshot.data_ = std::move(incoming_->data_);
  incoming_.reset();
  Error ignored;
  const auto membership =
      last_part.entries_.empty()
          ? std::nullopt
          : DecodeMembership(last_part.entries_.front().payload_, &ignored);
  if (!membership) {
    return;
  }
  snapshot.membership_ = *membership;
  memberships_.Reset(snapshot.index_, *membership);
  CheckIdentity();
  if (identity_lost_) {
    return;
  }
  received_snapshot_ = snapshot;
  log_.Reset(std::move(snapshot));
  AcknowledgeAppend(last_part, log_.commit());
}

void RaftNode::Impl::HandleSnapshotReply(const Message& message) {
  Progress* progress = RecordReply(message);
  if (progress == nullptr || progress->mode_ != Progress::Mode::kSnapshot ||
      message.log_index_ != progress->snapshot_->index_ ||
      message.offset_ > progress->snapshot_->data_.size()) {
    return;
  }
  progress->offset_ = message.offset_;
  SendSnapshotPart(message.from_, progress);
}

}  // namespace citronlane
