#include <algorithm>
#include <utility>

#include "citronlane/consensus/detail/quorum.h"
#include "citronlane/consensus/detail/raft_impl.h"

namespace citronlane {

void RaftNode::Impl::ResetElectionDeadline() {
  const auto spread = static_cast<uint64_t>(options_.election_timeout_.count());
  election_deadline_ = now_ + options_.election_timeout_ +
                       Duration(static_cast<Duration::rep>(
                           random_(std::max<uint64_t>(spread, 1))));
}

// While this holds, the leader may have a lease that depends on this node not
// voting for another one.
bool RaftNode::Impl::HasRecentLeaderContact() const {
  if (IsLeader()) {
    return now_ < QuorumContact() + options_.election_timeout_;
  }
  return now_ < leader_contact_ + options_.election_timeout_;
}

void RaftNode::Impl::RecordLeaderContact(uint64_t leader) {
  if (role_ != Role::kFollower) {
    BecomeFollower(term(), leader);
  }
  leader_ = leader;
  leader_contact_ = now_;
  ResetElectionDeadline();
}

void RaftNode::Impl::BecomeFollower(uint64_t term, uint64_t leader) {
  if (term > hard_state_.term_) {
    SetHardState(term, 0);
    incoming_.reset();
  }
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  progress_.clear();
  reads_.clear();
  transfer_to_ = 0;
  ResetElectionDeadline();
}

void RaftNode::Impl::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.id_;
  votes_.clear();
  reads_.clear();
  progress_.clear();
  transfer_to_ = 0;
  elected_at_ = now_;
  log_.Append(Entry{0, term(), EntryKind::kNoOp, ""});
  SyncProgress();
  BroadcastHeartbeat();
}

// A leader that removed itself may hold the only copy of that change. Until it
// is committed no other node can win an election, so this one has to.
bool RaftNode::Impl::MayCampaign() const {
  return IsVoter(options_.id_) ||
         memberships_.At(log_.commit()).voters_.count(options_.id_) != 0;
}

void RaftNode::Impl::Campaign() {
  if (MayCampaign()) {
    StartPreVote();
  } else {
    leader_ = 0;
    ResetElectionDeadline();
  }
}

void RaftNode::Impl::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_ = 0;
  votes_ = {{options_.id_, true}};
  ResetElectionDeadline();
  if (HasWon()) {
    StartElection(false);
    return;
  }
  RequestVotes(MessageKind::kPreVote, term() + 1, false);
}

void RaftNode::Impl::StartElection(bool leadership_transfer) {
  role_ = Role::kCandidate;
  leader_ = 0;
  SetHardState(term() + 1, options_.id_);
  incoming_.reset();
  votes_ = {{options_.id_, true}};
  ResetElectionDeadline();
  if (HasWon()) {
    BecomeLeader();
    return;
  }
  RequestVotes(MessageKind::kVote, term(), leadership_transfer);
}

void RaftNode::Impl::RequestVotes(MessageKind kind,
                                  uint64_t term,
                                  bool leadership_transfer) {
  for (const auto& [id, address] : memberships_.current().voters_) {
    if (id == options_.id_) {
      continue;
    }
    Message message;
    message.kind_ = kind;
    message.to_ = id;
    message.term_ = term;
    message.log_index_ = log_.last_index();
    message.log_term_ = log_.last_term();
    message.context_ = leadership_transfer ? 1 : 0;
    Send(std::move(message));
  }
}

bool RaftNode::Impl::HasWon() const {
  const auto& voters = memberships_.current().voters_;
  const auto granted =
      std::count_if(votes_.begin(), votes_.end(), [&](const auto& vote) {
        return vote.second && voters.count(vote.first) != 0;
      });
  return static_cast<size_t>(granted) >= QuorumSize(voters.size());
}

bool RaftNode::Impl::HasLost() const {
  const auto& voters = memberships_.current().voters_;
  const auto refused =
      std::count_if(votes_.begin(), votes_.end(), [&](const auto& vote) {
        return !vote.second && voters.count(vote.first) != 0;
      });
  return static_cast<size_t>(refused) >
         voters.size() - QuorumSize(voters.size());
}

void RaftNode::Impl::HandleVoteRequest(const Message& message) {
  const bool pre_vote = message.kind_ == MessageKind::kPreVote;
  const bool vote_available =
      pre_vote ? message.term_ > term()
               : hard_state_.vote_ == message.from_ ||
                     (hard_state_.vote_ == 0 && leader_ == 0);
  // A node without a membership does not know who the voters are.
  const bool granted = vote_available &&
                       !memberships_.current().voters_.empty() &&
                       log_.IsUpToDate(message.log_index_, message.log_term_);
  if (granted && !pre_vote) {
    SetHardState(term(), message.from_);
    ResetElectionDeadline();
  }
  Message reply = Reply(
      message, pre_vote ? MessageKind::kPreVoteReply : MessageKind::kVoteReply);
  reply.reject_ = !granted;
  if (pre_vote && granted) {
    reply.term_ = message.term_;
  }
  Send(std::move(reply));
}

void RaftNode::Impl::HandleVoteReply(const Message& message) {
  const bool pre_vote = message.kind_ == MessageKind::kPreVoteReply;
  if (role_ != (pre_vote ? Role::kPreCandidate : Role::kCandidate)) {
    return;
  }
  if (pre_vote && !message.reject_ && message.term_ != term() + 1) {
    return;
  }
  votes_[message.from_] = !message.reject_;
  if (HasLost()) {
    BecomeFollower(term(), 0);
  } else if (HasWon()) {
    pre_vote ? StartElection(false) : BecomeLeader();
  }
}

void RaftNode::Impl::HandleTimeoutNow() {
  if (role_ == Role::kFollower && IsVoter(options_.id_)) {
    StartElection(true);
  }
}

}  // namespace citronlane
