#include <algorithm>
#include <utility>
#include <vector>

#include "citronlane/consensus/detail/quorum.h"
#include "citronlane/consensus/detail/raft_impl.h"

namespace citronlane {

void RaftNode::Impl::TickLeader() {
  // A transfer can not be cancelled: the target may still start its election,
  // so the leader steps down instead of using its lease again in this term.
  const bool transfer_failed = transfer_to_ != 0 && now_ >= transfer_deadline_;
  const TimePoint contact = std::max(QuorumContact(), elected_at_);
  if (transfer_failed || now_ >= contact + options_.leader_lease_) {
    BecomeFollower(term(), 0);
    return;
  }
  if (now_ >= heartbeat_due_) {
    BroadcastHeartbeat();
  }
  ResendLostParts();
}

void RaftNode::Impl::BroadcastHeartbeat() {
  heartbeat_due_ = now_ + options_.heartbeat_interval_;
  const uint64_t round =
      rounds_.Begin(now_, now_ - 2 * options_.election_timeout_);
  for (const auto& [id, progress] : progress_) {
    Message message;
    message.kind_ = MessageKind::kHeartbeat;
    message.to_ = id;
    message.commit_ = std::min(progress.match_, log_.commit());
    message.context_ = round;
    Send(std::move(message));
  }
  for (PendingRead& read : reads_) {
    if (read.round_ == 0) {
      read.round_ = round;
    }
  }
}

void RaftNode::Impl::HandleHeartbeat(const Message& message) {
  RecordLeaderContact(message.from_);
  log_.CommitTo(message.commit_);
  Send(Reply(message, MessageKind::kHeartbeatReply));
}

void RaftNode::Impl::HandleHeartbeatReply(const Message& message) {
  Progress* progress = RecordReply(message);
  if (progress == nullptr) {
    return;
  }
  progress->probe_sent_ = false;
  if (progress->mode_ != Progress::Mode::kReplicate ||
      progress->match_ >= log_.last_index()) {
    return;
  }
  // An append may have been lost. An empty one at the next position is rejected
  // then, and the reply shows from where to resend.
  if (progress->inflight_.size() >= options_.max_inflight_appends_) {
    progress->inflight_.pop_front();
  }
  if (progress->next_ > log_.last_index()) {
    SendAppend(message.from_, progress, 0);
  }
}

Progress* RaftNode::Impl::RecordReply(const Message& message) {
  const auto it = progress_.find(message.from_);
  if (!IsLeader() || it == progress_.end()) {
    return nullptr;
  }
  Progress& progress = it->second;
  progress.acked_round_ = std::max(progress.acked_round_, message.context_);
  progress.incarnation_ = message.incarnation_;
  return &progress;
}

// Latest time at which a majority is known to have followed this leader.
TimePoint RaftNode::Impl::QuorumContact() const {
  std::vector<TimePoint> contacts;
  for (const auto& [id, address] : memberships_.current().voters_) {
    const auto it = progress_.find(id);
    if (id == options_.id_) {
      contacts.push_back(now_);
    } else if (it != progress_.end()) {
      contacts.push_back(rounds_.BeganAt(it->second.acked_round_));
    } else {
      contacts.emplace_back();
    }
  }
  return QuorumValue(std::move(contacts));
}

TimePoint RaftNode::Impl::lease_end() const {
  if (!IsLeader() || transfer_to_ != 0) {
    return TimePoint{};
  }
  const TimePoint contact = QuorumContact();
  return contact == TimePoint{} ? contact : contact + options_.leader_lease_;
}

bool RaftNode::Impl::StartRead(TimePoint now, uint64_t context, Error* error) {
  now_ = now;
  if (!CanPropose(error)) {
    return false;
  }
  if (log_.TermAt(log_.commit()) != term()) {
    error->message_ = "the leader has committed nothing in its term yet";
    return false;
  }
  reads_.push_back(PendingRead{context, log_.commit(), 0});
  return true;
}

void RaftNode::Impl::ConfirmReads() {
  if (reads_.empty()) {
    return;
  }
  std::vector<uint64_t> acked;
  for (const auto& [id, address] : memberships_.current().voters_) {
    acked.push_back(id == options_.id_ ? rounds_.current()
                                       : progress_[id].acked_round_);
  }
  const uint64_t confirmed = QuorumValue(std::move(acked));
  while (!reads_.empty() && reads_.front().round_ != 0 &&
         reads_.front().round_ <= confirmed) {
    confirmed_reads_.emplace_back(reads_.front().context_,
                                  reads_.front().index_);
    reads_.pop_front();
  }
}

void RaftNode::Impl::TransferLeadership(TimePoint now, uint64_t to) {
  now_ = now;
  uint64_t longest = 0;
  for (const auto& [id, progress] : progress_) {
    if (to == 0 && IsVoter(id) &&
        (longest == 0 || progress.match_ > progress_[longest].match_)) {
      longest = id;
    }
  }
  to = to == 0 ? longest : to;
  if (!IsLeader() || to == options_.id_ || !IsVoter(to) || transfer_to_ != 0) {
    return;
  }
  transfer_to_ = to;
  transfer_deadline_ = now_ + options_.election_timeout_;
  MaybeFinishTransfer(to, progress_[to]);
}

void RaftNode::Impl::MaybeFinishTransfer(uint64_t id,
                                         const Progress& progress) {
  if (id != transfer_to_ || progress.match_ != log_.last_index()) {
    return;
  }
  Message message;
  message.kind_ = MessageKind::kTimeoutNow;
  message.to_ = id;
  Send(std::move(message));
}

}  // namespace citronlane
