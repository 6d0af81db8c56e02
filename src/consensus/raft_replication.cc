#include <algorithm>
#include <utility>
#include <vector>

#include "citronlane/consensus/detail/quorum.h"
#include "citronlane/consensus/detail/raft_impl.h"

namespace citronlane {

void RaftNode::Impl::ReplicateToAll() {
  for (auto& [id, progress] : progress_) {
    Replicate(id, &progress);
  }
}

void RaftNode::Impl::Replicate(uint64_t id, Progress* progress) {
  if (progress->mode_ != Progress::Mode::kSnapshot &&
      progress->next_ < log_.first_index()) {
    progress->BecomeSnapshot(log_.snapshot());
    SendSnapshotPart(id, progress);
    return;
  }
  switch (progress->mode_) {
    case Progress::Mode::kProbe:
      if (!progress->probe_sent_) {
        SendAppend(id, progress, options_.max_entries_per_append_);
        progress->probe_sent_ = true;
      }
      return;
    case Progress::Mode::kReplicate:
      return ReplicatePipelined(id, progress);
    case Progress::Mode::kSnapshot:
      return;
  }
}

void RaftNode::Impl::ReplicatePipelined(uint64_t id, Progress* progress) {
  while (progress->next_ <= log_.last_index() &&
         progress->inflight_.size() < options_.max_inflight_appends_) {
    progress->next_ +=
        SendAppend(id, progress, options_.max_entries_per_append_);
    progress->inflight_.push_back(progress->next_ - 1);
  }
  // Followers serve watches, so a new commit index is sent immediately.
  if (progress->sent_commit_ < std::min(log_.commit(), progress->match_)) {
    SendAppend(id, progress, 0);
  }
}

// Returns the number of entries sent; an append without entries is a probe or
// carries a new commit index.
size_t RaftNode::Impl::SendAppend(uint64_t id,
                                  Progress* progress,
                                  size_t max_entries) {
  Message message;
  message.kind_ = MessageKind::kAppend;
  message.to_ = id;
  message.log_index_ = progress->next_ - 1;
  message.log_term_ = log_.TermAt(message.log_index_);
  message.commit_ = log_.commit();
  message.context_ = rounds_.current();
  message.entries_ =
      log_.Slice(progress->next_, max_entries, options_.max_bytes_per_append_);
  progress->sent_commit_ = message.commit_;
  const size_t sent = message.entries_.size();
  Send(std::move(message));
  return sent;
}

// Rejects appends that would corrupt the log; no leader of this version sends
// them.
bool RaftNode::Impl::IsWellFormed(const Message& append) {
  uint64_t index = append.log_index_;
  uint64_t term = append.log_term_;
  for (const Entry& entry : append.entries_) {
    if (entry.index_ != ++index || entry.term_ < term ||
        entry.term_ > append.term_) {
      return false;
    }
    term = entry.term_;
  }
  return true;
}

void RaftNode::Impl::HandleAppend(const Message& message) {
  if (!IsWellFormed(message)) {
    return;
  }
  RecordLeaderContact(message.from_);
  if (message.log_index_ < log_.commit()) {
    AcknowledgeAppend(message, log_.commit());
    return;
  }
  if (!log_.Matches(message.log_index_, message.log_term_)) {
    RejectAppend(message);
    return;
  }
  const uint64_t replaced = log_.Merge(message.entries_);
  if (replaced != 0) {
    memberships_.Truncate(replaced);
  }
  memberships_.Append(message.entries_);
  CheckIdentity();
  const uint64_t last = message.log_index_ + message.entries_.size();
  log_.CommitTo(std::min(message.commit_, last));
  AcknowledgeAppend(message, last);
}

void RaftNode::Impl::RejectAppend(const Message& message) {
  Message reply = Reply(message, MessageKind::kAppendReply);
  reply.reject_ = true;
  reply.log_index_ = message.log_index_;
  reply.hint_index_ = log_.FindConflict(message.log_index_, message.log_term_);
  reply.hint_term_ = log_.TermAt(reply.hint_index_);
  Send(std::move(reply));
}

void RaftNode::Impl::AcknowledgeAppend(const Message& message, uint64_t index) {
  if (identity_lost_) {
    return;
  }
  Message reply = Reply(message, MessageKind::kAppendReply);
  reply.log_index_ = index;
  Send(std::move(reply));
}

void RaftNode::Impl::HandleAppendReply(const Message& message) {
  Progress* progress = RecordReply(message);
  if (progress == nullptr || message.log_index_ > log_.last_index()) {
    return;
  }
  if (message.reject_) {
    HandleAppendReject(progress, message);
    return;
  }
  const bool advanced = progress->Acknowledge(message.log_index_);
  const bool installed = progress->mode_ == Progress::Mode::kSnapshot &&
                         progress->match_ >= progress->snapshot_->index_;
  if (progress->mode_ == Progress::Mode::kProbe || installed) {
    progress->BecomeReplicate();
  }
  if (advanced) {
    MaybeCommit();
    MaybeFinishTransfer(message.from_, *progress);
  }
}

void RaftNode::Impl::HandleAppendReject(Progress* progress,
                                        const Message& message) {
  const bool stale = progress->mode_ == Progress::Mode::kSnapshot ||
                     message.log_index_ <= progress->match_ ||
                     (progress->mode_ == Progress::Mode::kProbe &&
                      message.log_index_ != progress->next_ - 1);
  if (stale) {
    return;
  }
  progress->BecomeProbe();
  const uint64_t candidate =
      log_.FindConflict(message.hint_index_, message.hint_term_) + 1;
  progress->next_ =
      std::max(progress->match_ + 1, std::min(candidate, message.log_index_));
}

// Only an entry of the leader's own term is committed by counting replicas; it
// commits the entries before it as well (Raft, section 5.4.2).
void RaftNode::Impl::MaybeCommit() {
  std::vector<uint64_t> stored;
  for (const auto& [id, address] : memberships_.current().voters_) {
    if (id == options_.id_) {
      stored.push_back(log_.stored());
    } else {
      stored.push_back(progress_[id].match_);
    }
  }
  const uint64_t index = QuorumValue(std::move(stored));
  if (index > log_.commit() && log_.TermAt(index) == term()) {
    log_.CommitTo(index);
  }
}

}  // namespace citronlane
