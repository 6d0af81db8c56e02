#include "citronlane/control/replica_driver.h"

#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/membership_step.h"
#include "citronlane/storage/posix_file_system.h"
#include "citronlane/storage/replica_storage.h"

namespace citronlane {
namespace {

// Log position of the snapshot that every initial voter starts from.
constexpr uint64_t kInitialIndex = 1;
constexpr uint64_t kInitialTerm = 1;
/// Time without a command after which a snapshot is taken, so that a burst of
/// commands shares one.
constexpr Duration kQuietTimeBeforeSnapshot = std::chrono::milliseconds(400);

Membership MembershipAfter(Membership membership, const MembershipStep& step) {
  switch (step.kind_) {
    case MembershipStep::Kind::kAddLearner:
      membership.learners_[step.id_] = step.address_;
      break;
    case MembershipStep::Kind::kPromote:
      if (const auto it = membership.learners_.find(step.id_);
          it != membership.learners_.end()) {
        membership.voters_.insert(*it);
        membership.learners_.erase(it);
      }
      break;
    case MembershipStep::Kind::kRemove:
      membership.voters_.erase(step.id_);
      membership.learners_.erase(step.id_);
      break;
  }
  return membership;
}

}  // namespace

ReplicaDriver::ReplicaDriver(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(std::random_device()()),
      snapshots_(options_.snapshot_interval_,
                 options_.snapshot_bytes_,
                 hooks_.take_snapshot_) {
  if (!options_.files_.sync_) {
    options_.files_ = PosixFileSystem();
  }
}

ReplicaDriver::~ReplicaDriver() {
  pending_.FailAll("the replica is closing");
}

bool ReplicaDriver::Open(Error* error) {
  storage_ = std::make_unique<ReplicaStorage>(
      options_.files_, options_.data_dir_, options_.segment_bytes_,
      [this] { return random_() | 1; });
  auto state = storage_->Open(options_.raft_.id_, error);
  if (!state) {
    return false;
  }
  options_.raft_.incarnation_ = state->incarnation_;
  const bool is_formed = state->snapshot_.index_ != 0 ||
                         !state->entries_.empty() ||
                         state->hard_state_.term_ != 0;
  stored_ = std::move(*state);
  if (is_formed) {
    Join(SteadyNow());
  }
  return true;
}

void ReplicaDriver::Join(TimePoint now) {
  StartNode(std::move(*stored_), now);
  stored_.reset();
}

bool ReplicaDriver::Form(const std::map<uint64_t, std::string>& voters,
                         const std::map<uint64_t, uint64_t>& incarnations,
                         TimePoint now,
                         Error* error) {
  StoredState state;
  state.hard_state_.term_ = kInitialTerm;
  Snapshot& snapshot = state.snapshot_;
  snapshot.index_ = kInitialIndex;
  snapshot.term_ = kInitialTerm;
  snapshot.membership_.voters_ = voters;
  snapshot.membership_.incarnations_ = incarnations;
  snapshot.membership_.last_id_ = voters.rbegin()->first;
  snapshot.data_ = hooks_.take_snapshot_();
  if (!storage_->Append(state.hard_state_, {}, error) ||
      !storage_->SaveSnapshot(snapshot, false, error)) {
    Fail(error->message_);
    return false;
  }
  stored_.reset();
  StartNode(std::move(state), now);
  return true;
}

void ReplicaDriver::StartNode(StoredState state, TimePoint now) {
  snapshots_.OnInstalled(state.snapshot_.index_);
  if (snapshots_.index() != 0) {
    hooks_.install_snapshot_(state.snapshot_.data_);
  }
  node_ = std::make_unique<RaftNode>(
      options_.raft_, state.hard_state_, std::move(state.snapshot_),
      std::move(state.entries_), now,
      [this](uint64_t below) { return random_() % below; });
}

void ReplicaDriver::Step(TimePoint now, const Message& message) {
  if (node_ && failure_.empty()) {
    node_->Step(now, message);
    CarryOutReady(now);
  }
}

void ReplicaDriver::Tick(TimePoint now) {
  if (node_ && failure_.empty()) {
    node_->Tick(now);
    CarryOutReady(now);
    SnapshotWhenQuiet(now);
  }
}

void ReplicaDriver::Propose(TimePoint now,
                            std::string command,
                            Replica::ProposeDone done) {
  Error error;
  if (!node_ || !failure_.empty()) {
    done(std::nullopt, Error{"the replica is not running"});
    return;
  }
  const auto index = node_->Propose(now, std::move(command), &error);
  if (!index) {
    done(std::nullopt, error);
    return;
  }
  pending_.AddProposal(*index, node_->term(), std::move(done));
  CarryOutReady(now);
}

void ReplicaDriver::Read(TimePoint now, Replica::ReadDone done) {
  if (!node_ || !failure_.empty()) {
    done(false);
    return;
  }
  const uint64_t context = pending_.AddRead(std::move(done));
  Error error;
  if (!node_->StartRead(now, context, &error)) {
    pending_.FinishRead(context, false);
    return;
  }
  CarryOutReady(now);
}

bool ReplicaDriver::Change(TimePoint now,
                           const MembershipStep& step,
                           Error* error) {
  if (!node_ || !failure_.empty()) {
    error->message_ = "the replica is not running";
    return false;
  }
  const auto index = node_->ProposeMembership(
      now, MembershipAfter(node_->membership(), step), error);
  if (index) {
    CarryOutReady(now);
  }
  return index.has_value();
}

void ReplicaDriver::TransferLeadership(TimePoint now) {
  if (node_ && failure_.empty() && node_->role() == Role::kLeader) {
    node_->TransferLeadership(now, 0);
    CarryOutReady(now);
  }
}

std::map<uint64_t, uint64_t> ReplicaDriver::voter_incarnations() const {
  return node_ ? node_->membership().incarnations_
               : std::map<uint64_t, uint64_t>();
}

void ReplicaDriver::CarryOutReady(TimePoint now) {
  while (failure_.empty()) {
    Ready ready = node_->TakeReady();
    if (ready.IsEmpty()) {
      break;
    }
    for (Message& message : ready.early_messages_) {
      hooks_.send_(std::move(message));
    }
    Error error;
    if (!StoreReady(ready, &error)) {
      Fail(error.message_);
      return;
    }
    for (Message& message : ready.messages_) {
      hooks_.send_(std::move(message));
    }
    Apply(ready.committed_);
    node_->Advance(now);
    for (const auto& [context, index] : ready.confirmed_reads_) {
      pending_.FinishRead(context, true);
    }
    if (!snapshots_.TakeIfDue(node_.get(), storage_.get(), &error)) {
      Fail(error.message_);
      return;
    }
  }
  NotifyRole();
}

bool ReplicaDriver::StoreReady(const Ready& ready, Error* error) {
  if (ready.snapshot_) {
    if (!storage_->SaveSnapshot(*ready.snapshot_, true, error)) {
      return false;
    }
    snapshots_.OnInstalled(ready.snapshot_->index_);
    hooks_.install_snapshot_(ready.snapshot_->data_);
  }
  if (!ready.hard_state_ && ready.entries_.empty()) {
    return true;
  }
  return storage_->Append(ready.hard_state_, ready.entries_, error);
}

void ReplicaDriver::Apply(const std::vector<Entry>& committed) {
  for (const Entry& entry : committed) {
    snapshots_.OnApplied(entry.payload_.size());
    std::string result;
    if (entry.kind_ == EntryKind::kCommand) {
      result = hooks_.apply_(entry.payload_);
      last_command_ = SteadyNow();
    }
    pending_.Applied(entry, std::move(result));
  }
}

// After a restart only the state in a snapshot is known to be committed; the
// log alone does not show that. With a recent snapshot, gateways that restart
// along with all control VMs get a configuration before a leader is elected.
void ReplicaDriver::SnapshotWhenQuiet(TimePoint now) {
  if (!failure_.empty() || !snapshots_.has_unsaved_commands() ||
      now - last_command_ < kQuietTimeBeforeSnapshot) {
    return;
  }
  Error error;
  if (!snapshots_.Take(node_.get(), storage_.get(), &error)) {
    Fail(error.message_);
  }
}

void ReplicaDriver::NotifyRole() {
  if (!failure_.empty() ||
      (node_->role() == last_role_ && node_->term() == last_term_)) {
    return;
  }
  const bool was_leader = last_role_ == Role::kLeader;
  last_role_ = node_->role();
  last_term_ = node_->term();
  hooks_.role_changed_(last_role_, last_term_);
  if (was_leader) {
    pending_.FailAll(
        "this node lost the leadership; the command may still be committed");
  }
}

void ReplicaDriver::Fail(const std::string& reason) {
  failure_ = reason;
  pending_.FailAll("the replica failed: " + reason);
  if (last_role_ == Role::kLeader) {
    last_role_ = Role::kFollower;
    hooks_.role_changed_(last_role_, last_term_);
  }
}

}  // namespace citronlane
