#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/replica_impl.h"

namespace citronlane {
namespace {

constexpr Duration kGreetingInterval = std::chrono::milliseconds(100);
// Log position of the snapshot that every initial voter starts from.
constexpr uint64_t kInitialIndex = 1;
constexpr uint64_t kInitialTerm = 1;

}  // namespace

void Replica::Impl::StartNode(StoredState state) {
  const uint64_t index = state.snapshot_.index_;
  snapshots_.OnInstalled(index);
  if (index != 0 && hooks_.install_snapshot_) {
    hooks_.install_snapshot_(index, state.snapshot_.data_);
  }
  last_appended_ = index;
  NotifyAppended(state.entries_);
  node_ = std::make_unique<RaftNode>(
      options_.raft_, state.hard_state_, std::move(state.snapshot_),
      std::move(state.entries_), SteadyNow(),
      [this](uint64_t below) { return random_() % below; });
}

void Replica::Impl::TickFormation(const std::vector<Greeting>& greetings) {
  for (const Greeting& greeting : greetings) {
    formation_->HandleGreeting(greeting.round_, greeting.greeting_);
  }
  switch (formation_->state()) {
    case ClusterFormation::State::kFormed:
      return Form();
    case ClusterFormation::State::kRefused:
      return Fail(formation_->refusal());
    case ClusterFormation::State::kWaiting:
      break;
  }
  const TimePoint now = SteadyNow();
  if (now < next_round_) {
    return;
  }
  next_round_ = now + kGreetingInterval;
  const uint64_t round = ++formation_round_;
  for (const auto& [id, address] : options_.initial_voters_) {
    if (id == options_.raft_.id_) {
      continue;
    }
    peers_->Get(id, address)
        .Greet(options_.raft_.incarnation_,
               [this, round](const ReplicationGreeting& greeting) {
                 Post([&](Inbox* inbox) {
                   inbox->greetings_.push_back(Greeting{round, greeting});
                 });
               });
  }
}

void Replica::Impl::Form() {
  StoredState state;
  state.hard_state_.term_ = kInitialTerm;
  Snapshot& snapshot = state.snapshot_;
  snapshot.index_ = kInitialIndex;
  snapshot.term_ = kInitialTerm;
  snapshot.membership_.voters_ = options_.initial_voters_;
  snapshot.membership_.incarnations_ = formation_->incarnations();
  snapshot.membership_.last_id_ = options_.initial_voters_.rbegin()->first;
  if (hooks_.take_snapshot_) {
    snapshot.data_ = hooks_.take_snapshot_();
  }
  {
    // Published before it is on disk, so that no other node counts this one as
    // empty once it may vote.
    const std::lock_guard<std::mutex> lock(mutex_);
    greeting_.formed_ = true;
    greeting_.incarnations_ = snapshot.membership_.incarnations_;
  }
  Error error;
  if (!storage_->Append(state.hard_state_, {}, &error) ||
      !storage_->SaveSnapshot(snapshot, false, &error)) {
    Fail(error.message_);
    return;
  }
  Log("formed a new cluster of " +
      std::to_string(options_.initial_voters_.size()) + " voters");
  formation_.reset();
  StartNode(std::move(state));
}

}  // namespace citronlane
