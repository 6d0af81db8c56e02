#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/replica_impl.h"

namespace citronlane {
namespace {

constexpr int kTicksPerHeartbeat = 4;

}  // namespace

void Replica::Impl::Run() {
  while (true) {
    Inbox inbox = WaitForInbox();
    if (status_.failed_) {
      Refuse(inbox, "the replica failed: " + status_.failure_);
    } else if (node_) {
      HandleInbox(std::move(inbox));
      CarryOutReady();
    } else {
      TickFormation(inbox.greetings_);
      Refuse(inbox, "the cluster is not formed yet");
    }
    PublishStatus();
    if (MayEndThread()) {
      break;
    }
  }
  Inbox rest;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    running_ = false;
    std::swap(rest, inbox_);
  }
  Refuse(rest, "the replica is stopping");
  pending_.FailAll("the replica is stopping");
}

Replica::Impl::Inbox Replica::Impl::WaitForInbox() {
  Inbox inbox;
  std::unique_lock<std::mutex> lock(mutex_);
  wake_.wait_for(lock, options_.raft_.heartbeat_interval_ / kTicksPerHeartbeat,
                 [this] { return !inbox_.IsEmpty(); });
  std::swap(inbox, inbox_);
  return inbox;
}

void Replica::Impl::HandleInbox(Inbox inbox) {
  for (const Message& message : inbox.messages_) {
    node_->Step(SteadyNow(), message);
  }
  HandleProposals(std::move(inbox.proposals_));
  HandleReads(std::move(inbox.reads_));
  HandleChanges(std::move(inbox.changes_));
  node_->Tick(SteadyNow());
  if (node_->identity_lost()) {
    Fail("the membership records another disk for node " +
         std::to_string(options_.raft_.id_) + "; join under an id never used");
  }
}

void Replica::Impl::HandleProposals(std::vector<Proposal> proposals) {
  for (Proposal& proposal : proposals) {
    Error error;
    const auto index =
        node_->Propose(SteadyNow(), std::move(proposal.payload_), &error);
    if (index) {
      pending_.AddProposal(*index, node_->term(), std::move(proposal.done_));
    } else {
      proposal.done_(std::nullopt, error);
    }
  }
}

void Replica::Impl::HandleReads(std::vector<ReadDone> reads) {
  for (ReadDone& done : reads) {
    const uint64_t context = pending_.AddRead(std::move(done));
    Error error;
    if (!node_->StartRead(SteadyNow(), context, &error)) {
      pending_.FinishRead(context, false);
    }
  }
}

void Replica::Impl::HandleChanges(std::vector<MembershipChange> changes) {
  for (MembershipChange& change : changes) {
    Error error;
    const auto index =
        node_->ProposeMembership(SteadyNow(), MembershipAfter(change), &error);
    if (index) {
      pending_.AddProposal(*index, node_->term(), std::move(change.done_));
    } else {
      change.done_(std::nullopt, error);
    }
  }
}

Membership Replica::Impl::MembershipAfter(
    const MembershipChange& change) const {
  Membership membership = node_->membership();
  switch (change.kind_) {
    case ChangeKind::kAddLearner:
      if (membership.voters_.count(change.id_) == 0) {
        membership.learners_[change.id_] = change.address_;
      }
      break;
    case ChangeKind::kPromote:
      if (const auto it = membership.learners_.find(change.id_);
          it != membership.learners_.end()) {
        membership.voters_.insert(*it);
        membership.learners_.erase(it);
      }
      break;
    case ChangeKind::kRemove:
      membership.voters_.erase(change.id_);
      membership.learners_.erase(change.id_);
      break;
  }
  return membership;
}

// Whether the thread may end: once stopped, a leader transfers the leadership
// first, within bounded time.
bool Replica::Impl::MayEndThread() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!thread_.is_stopping()) {
      return false;
    }
  }
  if (!node_ || node_->role() != Role::kLeader ||
      node_->membership().voters_.size() < 2) {
    return true;
  }
  const TimePoint now = SteadyNow();
  if (!transferring_leadership_) {
    transferring_leadership_ = true;
    leadership_transfer_deadline_ = now + 2 * options_.raft_.election_timeout_;
    node_->TransferLeadership(now, 0);
  }
  return now >= leadership_transfer_deadline_;
}

void Replica::Impl::Fail(const std::string& reason) {
  Log("stopped: " + reason);
  node_.reset();
  formation_.reset();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    status_.failed_ = true;
    status_.failure_ = reason;
  }
  if (last_role_ != Role::kFollower && hooks_.role_changed_) {
    last_role_ = Role::kFollower;
    hooks_.role_changed_(last_role_, last_term_);
  }
  pending_.FailAll("the replica failed: " + reason);
}

void Replica::Impl::Refuse(const Inbox& inbox, const std::string& reason) {
  for (const Proposal& proposal : inbox.proposals_) {
    proposal.done_(std::nullopt, Error{reason});
  }
  for (const MembershipChange& change : inbox.changes_) {
    change.done_(std::nullopt, Error{reason});
  }
  for (const ReadDone& done : inbox.reads_) {
    done(false);
  }
}

void Replica::Impl::PublishStatus() {
  const std::lock_guard<std::mutex> lock(mutex_);
  status_.sync_count_ = storage_->sync_count();
  lease_end_ = node_ ? node_->lease_end() : TimePoint{};
  status_.role_ = node_ ? node_->role() : Role::kFollower;
  status_.leader_ = node_ ? node_->leader() : 0;
  if (!node_) {
    return;
  }
  status_.term_ = node_->term();
  status_.commit_index_ = node_->commit_index();
  status_.applied_index_ = node_->applied_index();
  status_.last_index_ = node_->last_index();
  // Compared first, since a copy per batch would cost more.
  if (status_.membership_ != node_->membership()) {
    status_.membership_ = node_->membership();
  }
  if (snapshots_.index() != 0 &&
      (!greeting_.formed_ ||
       greeting_.incarnations_ != status_.membership_.incarnations_)) {
    greeting_.formed_ = true;
    greeting_.incarnations_ = status_.membership_.incarnations_;
  }
}

}  // namespace citronlane
