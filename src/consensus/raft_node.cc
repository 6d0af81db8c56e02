#include "citronlane/consensus/raft_node.h"

#include <utility>

#include "citronlane/consensus/detail/raft_impl.h"

namespace citronlane {

RaftNode::Impl::Impl(const RaftOptions& options,
                     const HardState& hard_state,
                     Snapshot snapshot,
                     std::vector<Entry> log,
                     TimePoint now,
                     RandomHook random)
    : options_(options),
      random_(std::move(random)),
      now_(now),
      hard_state_(hard_state),
      log_(std::move(snapshot), std::move(log)),
      memberships_(log_.snapshot()->index_, log_.snapshot()->membership_),
      leader_contact_(now) {
  for (uint64_t i = log_.first_index(); i <= log_.last_index(); ++i) {
    memberships_.Append(absl::MakeConstSpan(&log_.At(i), 1));
  }
  if (hard_state_.term_ < log_.last_term()) {
    // The node crashed after it stored a received log and before its term.
    hard_state_ = HardState{log_.last_term(), 0};
  }
  CheckIdentity();
  ResetElectionDeadline();
}

void RaftNode::Impl::Tick(TimePoint now) {
  now_ = now;
  if (identity_lost_) {
    return;
  }
  if (IsLeader()) {
    TickLeader();
  } else if (now_ >= election_deadline_) {
    Campaign();
  }
}

void RaftNode::Impl::Step(TimePoint now, const Message& message) {
  now_ = now;
  if (identity_lost_ || message.to_ != options_.id_ ||
      IsForeignIncarnation(message)) {
    return;
  }
  const bool asks_pre_vote = message.kind_ == MessageKind::kPreVote;
  const bool asks_vote = message.kind_ == MessageKind::kVote;
  if ((asks_pre_vote || asks_vote) && message.context_ == 0 &&
      HasRecentLeaderContact()) {
    return;
  }
  if (message.term_ < term()) {
    HandleOlderTerm(message);
    return;
  }
  const bool grants_pre_vote =
      message.kind_ == MessageKind::kPreVoteReply && !message.reject_;
  if (message.term_ > term() && !asks_pre_vote && !grants_pre_vote) {
    BecomeFollower(message.term_, 0);
  }
  Dispatch(message);
}

void RaftNode::Impl::Dispatch(const Message& message) {
  switch (message.kind_) {
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      return HandleVoteRequest(message);
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      return HandleVoteReply(message);
    case MessageKind::kAppend:
      return HandleAppend(message);
    case MessageKind::kAppendReply:
      return HandleAppendReply(message);
    case MessageKind::kHeartbeat:
      return HandleHeartbeat(message);
    case MessageKind::kHeartbeatReply:
      return HandleHeartbeatReply(message);
    case MessageKind::kSnapshotPart:
      return HandleSnapshotPart(message);
    case MessageKind::kSnapshotReply:
      return HandleSnapshotReply(message);
    case MessageKind::kTimeoutNow:
      return HandleTimeoutNow();
  }
}

// The reply carries the newer term to an old leader or candidate.
void RaftNode::Impl::HandleOlderTerm(const Message& message) {
  switch (message.kind_) {
    case MessageKind::kAppend:
    case MessageKind::kHeartbeat:
    case MessageKind::kSnapshotPart: {
      Message reply = Reply(message, MessageKind::kAppendReply);
      reply.reject_ = true;
      Send(std::move(reply));
      return;
    }
    case MessageKind::kPreVote:
    case MessageKind::kVote: {
      Message reply = Reply(message, message.kind_ == MessageKind::kVote
                                         ? MessageKind::kVoteReply
                                         : MessageKind::kPreVoteReply);
      reply.reject_ = true;
      Send(std::move(reply));
      return;
    }
    default:
      return;
  }
}

bool RaftNode::Impl::IsVoter(uint64_t id) const {
  return memberships_.current().voters_.count(id) != 0;
}

bool RaftNode::Impl::IsForeignIncarnation(const Message& message) const {
  const auto& known = memberships_.current().incarnations_;
  const auto it = known.find(message.from_);
  return it != known.end() && it->second != message.incarnation_;
}

void RaftNode::Impl::CheckIdentity() {
  const auto& known = memberships_.current().incarnations_;
  const auto it = known.find(options_.id_);
  if (it != known.end() && it->second != options_.incarnation_) {
    identity_lost_ = true;
  }
}

void RaftNode::Impl::SetHardState(uint64_t term, uint64_t vote) {
  hard_state_.term_ = term;
  hard_state_.vote_ = vote;
  hard_state_changed_ = true;
}

// A leader's messages confirm nothing about its own disk, so they need not wait
// for the sync.
void RaftNode::Impl::Send(Message message) {
  message.from_ = options_.id_;
  message.incarnation_ = options_.incarnation_;
  if (message.term_ == 0) {
    message.term_ = term();
  }
  (IsLeader() ? early_messages_ : messages_).push_back(std::move(message));
}

Message RaftNode::Impl::Reply(const Message& to, MessageKind kind) const {
  Message reply;
  reply.kind_ = kind;
  reply.to_ = to.from_;
  reply.context_ = to.context_;
  return reply;
}

bool RaftNode::Impl::CanPropose(Error* error) const {
  if (!IsLeader()) {
    error->message_ = "this node does not lead";
    return false;
  }
  if (transfer_to_ != 0) {
    error->message_ = "a leadership transfer is in progress";
    return false;
  }
  return true;
}

std::optional<uint64_t> RaftNode::Impl::Propose(TimePoint now,
                                                std::string payload,
                                                Error* error) {
  now_ = now;
  if (!CanPropose(error)) {
    return std::nullopt;
  }
  return log_.Append(Entry{0, term(), EntryKind::kCommand, std::move(payload)});
}

Ready RaftNode::Impl::TakeReady() {
  if (IsLeader()) {
    if (!reads_.empty() && reads_.back().round_ == 0) {
      BroadcastHeartbeat();
    }
    ReplicateToAll();
    ConfirmReads();
  }
  Ready ready;
  ready.entries_ = log_.Unstored();
  ready.committed_ = log_.Unapplied();
  ready.snapshot_ = std::move(received_snapshot_);
  received_snapshot_.reset();
  ready.messages_ = std::move(messages_);
  ready.early_messages_ = std::move(early_messages_);
  if (hard_state_changed_) {
    // A new leader's term must be on disk before any message carries it.
    ready.hard_state_ = hard_state_;
    hard_state_changed_ = false;
    ready.messages_.insert(
        ready.messages_.end(),
        std::make_move_iterator(ready.early_messages_.begin()),
        std::make_move_iterator(ready.early_messages_.end()));
    ready.early_messages_.clear();
  }
  ready.confirmed_reads_ = std::move(confirmed_reads_);
  messages_.clear();
  early_messages_.clear();
  confirmed_reads_.clear();
  ready_stored_index_ = log_.last_index();
  ready_stored_term_ = log_.last_term();
  ready_applied_index_ = log_.commit();
  return ready;
}

void RaftNode::Impl::Advance(TimePoint now) {
  now_ = now;
  log_.MarkStored(ready_stored_index_, ready_stored_term_);
  log_.MarkApplied(ready_applied_index_);
  if (IsLeader()) {
    MaybeCommit();
    StepDownIfRemoved();
  }
}

void RaftNode::Impl::Compact(Snapshot snapshot) {
  const uint64_t index = snapshot.index_;
  log_.Compact(std::move(snapshot), options_.kept_entries_,
               options_.kept_bytes_);
  memberships_.Compact(index);
}

Role RaftNode::Impl::role() const {
  if (role_ == Role::kFollower && !IsVoter(options_.id_)) {
    return Role::kLearner;
  }
  return role_;
}

RaftNode::RaftNode(const RaftOptions& options,
                   const HardState& hard_state,
                   Snapshot snapshot,
                   std::vector<Entry> log,
                   TimePoint now,
                   RandomHook random)
    : impl_(std::make_unique<Impl>(options,
                                   hard_state,
                                   std::move(snapshot),
                                   std::move(log),
                                   now,
                                   std::move(random))) {}

RaftNode::~RaftNode() = default;

void RaftNode::Tick(TimePoint now) {
  impl_->Tick(now);
}

void RaftNode::Step(TimePoint now, const Message& message) {
  impl_->Step(now, message);
}

std::optional<uint64_t> RaftNode::Propose(TimePoint now,
                                          std::string payload,
                                          Error* error) {
  return impl_->Propose(now, std::move(payload), error);
}

std::optional<uint64_t> RaftNode::ProposeMembership(
    TimePoint now,
    const Membership& membership,
    Error* error) {
  return impl_->ProposeMembership(now, membership, error);
}

bool RaftNode::StartRead(TimePoint now, uint64_t context, Error* error) {
  return impl_->StartRead(now, context, error);
}

void RaftNode::TransferLeadership(TimePoint now, uint64_t to) {
  impl_->TransferLeadership(now, to);
}

Ready RaftNode::TakeReady() {
  return impl_->TakeReady();
}

void RaftNode::Advance(TimePoint now) {
  impl_->Advance(now);
}

void RaftNode::Compact(Snapshot snapshot) {
  impl_->Compact(std::move(snapshot));
}

Role RaftNode::role() const {
  return impl_->role();
}

uint64_t RaftNode::term() const {
  return impl_->term();
}

uint64_t RaftNode::leader() const {
  return impl_->leader();
}

bool RaftNode::HasLeaderLease(TimePoint now) const {
  return now < impl_->lease_end();
}

TimePoint RaftNode::lease_end() const {
  return impl_->lease_end();
}

uint64_t RaftNode::commit_index() const {
  return impl_->log().commit();
}

uint64_t RaftNode::applied_index() const {
  return impl_->log().applied();
}

uint64_t RaftNode::last_index() const {
  return impl_->log().last_index();
}

const Membership& RaftNode::membership() const {
  return impl_->memberships().current();
}

const Membership& RaftNode::membership_at(uint64_t index) const {
  return impl_->memberships().At(index);
}

uint64_t RaftNode::TermAt(uint64_t index) const {
  return impl_->log().TermAt(index);
}

bool RaftNode::identity_lost() const {
  return impl_->identity_lost();
}

}  // namespace citronlane
