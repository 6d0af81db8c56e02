#include "support/consensus_sim.h"

#include <algorithm>

namespace citronlane {
namespace {

constexpr uint64_t kTickUs = 5000;
constexpr uint64_t kMaxDelayUs = 12000;
constexpr uint64_t kDriftPerMille = 40;
constexpr size_t kStateBytes = 64;

RaftOptions RaftOptionsOf(uint64_t id, uint64_t incarnation) {
  RaftOptions options;
  options.id_ = id;
  options.incarnation_ = incarnation;
  options.heartbeat_interval_ = std::chrono::milliseconds(15);
  options.election_timeout_ = std::chrono::milliseconds(80);
  options.leader_lease_ = std::chrono::milliseconds(70);
  options.max_entries_per_append_ = 4;
  options.max_inflight_appends_ = 3;
  options.kept_entries_ = 4;
  options.snapshot_part_bytes_ = 24;
  return options;
}

}  // namespace

ConsensusSim::ConsensusSim(const Options& options)
    : options_(options), random_(options.seed_ * 0x9E3779B97F4A7C15ULL) {
  Snapshot initial;
  initial.index_ = 1;
  initial.term_ = 1;
  for (uint64_t id = 1; id <= options.voters_; ++id) {
    initial.membership_.voters_[id] = "node";
    initial.membership_.incarnations_[id] = next_incarnation_ + id - 1;
  }
  initial.membership_.last_id_ = options.voters_;
  initial.data_.assign(kStateBytes, '0');
  membership_ = initial.membership_;
  committed_.resize(2);
  for (uint64_t id = 1; id <= options.voters_; ++id) {
    AddNode();
    nodes_[id].disk_.snapshot_ = initial;
    nodes_[id].disk_.hard_state_.term_ = 1;
    Start(&nodes_[id]);
  }
}

uint64_t ConsensusSim::Random(uint64_t below) {
  random_ += 0x9E3779B97F4A7C15ULL;
  uint64_t mixed = random_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return (mixed ^ (mixed >> 31)) % below;
}

TimePoint ConsensusSim::ClockOf(const Node& node) const {
  return TimePoint(Duration(now_us_ * node.clock_rate_ / 1000));
}

uint64_t ConsensusSim::AddNode() {
  const uint64_t id = nodes_.empty() ? 1 : nodes_.rbegin()->first + 1;
  Node& node = nodes_[id];
  node.id_ = id;
  node.incarnation_ = next_incarnation_++;
  node.clock_rate_ = 1000 - kDriftPerMille + Random(2 * kDriftPerMille);
  Start(&node);
  return id;
}

void ConsensusSim::Start(Node* node) {
  const Snapshot& snapshot = node->disk_.snapshot_;
  node->applied_ = snapshot.index_;
  node->state_hash_ = snapshot.data_.empty() ? 0 : std::stoull(snapshot.data_);
  node->role_ = Role::kFollower;
  node->raft_ = std::make_unique<RaftNode>(
      RaftOptionsOf(node->id_, node->incarnation_), node->disk_.hard_state_,
      snapshot, node->disk_.entries_, ClockOf(*node),
      [this](uint64_t below) { return Random(below); });
}

void ConsensusSim::Crash(uint64_t id) {
  nodes_.at(id).raft_.reset();
}

void ConsensusSim::Retire(uint64_t id) {
  nodes_.at(id).retired_ = true;
  Crash(id);
}

void ConsensusSim::Restart(uint64_t id) {
  if (!IsUp(id)) {
    Start(&nodes_.at(id));
  }
}

void ConsensusSim::LoseDisk(uint64_t id) {
  Node& node = nodes_.at(id);
  node.disk_ = Disk{};
  node.disk_lost_ = true;
  node.incarnation_ = next_incarnation_++;
  Start(&node);
}

void ConsensusSim::Partition(const std::set<uint64_t>& side) {
  partition_side_ = side;
}

void ConsensusSim::CutLink(uint64_t a, uint64_t b) {
  cut_links_.emplace(std::min(a, b), std::max(a, b));
}

bool ConsensusSim::IsCut(const Message& message) const {
  return partition_side_.count(message.from_) !=
             partition_side_.count(message.to_) ||
         cut_links_.count({std::min(message.from_, message.to_),
                           std::max(message.from_, message.to_)}) != 0;
}

void ConsensusSim::Heal() {
  partition_side_.clear();
  cut_links_.clear();
}

void ConsensusSim::EndFaults() {
  Heal();
  options_.drop_ = 0;
  options_.duplicate_ = 0;
  options_.crash_ = 0;
  options_.quick_restart_ = 0;
  for (const uint64_t id : Ids()) {
    Restart(id);
  }
}

std::vector<uint64_t> ConsensusSim::Ids() const {
  std::vector<uint64_t> ids;
  for (const auto& [id, node] : nodes_) {
    if (!node.retired_) {
      ids.push_back(id);
    }
  }
  return ids;
}

uint64_t ConsensusSim::Leader() const {
  uint64_t leader = 0;
  uint64_t term = 0;
  for (const auto& [id, node] : nodes_) {
    if (node.raft_ && node.raft_->role() == Role::kLeader &&
        node.raft_->term() > term) {
      leader = id;
      term = node.raft_->term();
    }
  }
  return leader;
}

bool ConsensusSim::HasLease(uint64_t id) const {
  const Node& node = nodes_.at(id);
  return node.raft_ && node.raft_->HasLeaderLease(ClockOf(node));
}

void ConsensusSim::Propose() {
  const std::string payload = "c" + std::to_string(++commands_);
  Error error;
  for (auto& [id, node] : nodes_) {
    if (node.raft_) {
      node.raft_->Propose(ClockOf(node), payload + "@" + std::to_string(id),
                          &error);
    }
  }
}

std::optional<ConsensusSim::Place> ConsensusSim::ProposeAt(
    uint64_t id,
    const std::string& payload) {
  Node& node = nodes_.at(id);
  Error error;
  if (!node.raft_) {
    return std::nullopt;
  }
  const auto index = node.raft_->Propose(ClockOf(node), payload, &error);
  if (!index) {
    return std::nullopt;
  }
  return Place{*index, node.raft_->term()};
}

void ConsensusSim::Read() {
  Error error;
  for (auto& [id, node] : nodes_) {
    if (node.raft_ &&
        node.raft_->StartRead(ClockOf(node), ++next_read_, &error)) {
      read_floor_[next_read_] = committed_.size() - 1;
    }
  }
}

bool ConsensusSim::Change(const Membership& membership) {
  const uint64_t leader = Leader();
  return leader != 0 && At(leader)
                            ->ProposeMembership(ClockOf(nodes_.at(leader)),
                                                membership, &refusal_)
                            .has_value();
}

void ConsensusSim::Run(int ticks) {
  for (int i = 0; i < ticks; ++i) {
    Tick();
  }
}

void ConsensusSim::Tick() {
  now_us_ += kTickUs;
  Deliver();
  for (auto& [id, node] : nodes_) {
    if (node.raft_) {
      node.raft_->Tick(ClockOf(node));
      ProcessReady(&node);
    }
    if (!node.raft_ && !node.retired_ && Chance(options_.quick_restart_)) {
      Start(&node);
    }
  }
  CheckLeaders();
}

void ConsensusSim::Send(const Node& from,
                        const std::vector<Message>& messages) {
  for (const Message& message : messages) {
    CheckVotes(from, message);
    if (nodes_.count(message.to_) == 0 || IsCut(message)) {
      continue;
    }
    const int copies = Chance(options_.duplicate_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!Chance(options_.drop_)) {
        network_.emplace(now_us_ + Random(kMaxDelayUs), message);
      }
    }
  }
}

void ConsensusSim::Deliver() {
  while (!network_.empty() && network_.begin()->first <= now_us_) {
    const Message message = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    Node& node = nodes_.at(message.to_);
    if (!node.raft_ || partition_side_.count(message.from_) !=
                           partition_side_.count(message.to_)) {
      continue;
    }
    node.raft_->Step(ClockOf(node), message);
    if (Chance(300)) {
      ProcessReady(&node);
    }
  }
}

bool ConsensusSim::MaybeCrash(Node* node) {
  if (!Chance(options_.crash_)) {
    return false;
  }
  node->raft_.reset();
  return true;
}

void ConsensusSim::ProcessReady(Node* node) {
  for (int i = 0; i < 8 && node->raft_; ++i) {
    const Ready ready = node->raft_->TakeReady();
    if (ready.IsEmpty()) {
      return;
    }
    Send(*node, ready.early_messages_);
    if (!Persist(node, ready)) {
      return;
    }
    Send(*node, ready.messages_);
    if (MaybeCrash(node)) {
      return;
    }
    Apply(node, ready);
    node->raft_->Advance(ClockOf(*node));
    MaybeSnapshot(node);
  }
}

// Returns false when the node crashed; any prefix of the writes may then be on
// its disk.
bool ConsensusSim::Persist(Node* node, const Ready& ready) {
  if (MaybeCrash(node)) {
    return false;
  }
  Disk& disk = node->disk_;
  if (ready.snapshot_) {
    disk.snapshot_ = *ready.snapshot_;
    disk.entries_.clear();
    if (MaybeCrash(node)) {
      return false;
    }
  }
  if (ready.hard_state_) {
    disk.hard_state_ = *ready.hard_state_;
  }
  if (!ready.entries_.empty() && MaybeCrash(node)) {
    std::vector<Entry> prefix = ready.entries_;
    prefix.resize(Random(prefix.size() + 1));
    StoreEntries(node, prefix);
    return false;
  }
  StoreEntries(node, ready.entries_);
  return !MaybeCrash(node);
}

void ConsensusSim::StoreEntries(Node* node, const std::vector<Entry>& entries) {
  Disk& disk = node->disk_;
  for (const Entry& entry : entries) {
    const uint64_t kept = entry.index_ - disk.snapshot_.index_ - 1;
    if (kept > disk.entries_.size()) {
      AddFault("gap in the log of node " + std::to_string(node->id_));
      return;
    }
    disk.entries_.resize(kept);
    disk.entries_.push_back(entry);
  }
}

void ConsensusSim::MaybeSnapshot(Node* node) {
  Disk& disk = node->disk_;
  if (node->applied_ < disk.snapshot_.index_ + options_.snapshot_interval_) {
    return;
  }
  Snapshot snapshot;
  snapshot.index_ = node->applied_;
  snapshot.term_ = node->raft_->TermAt(node->applied_);
  snapshot.membership_ = node->raft_->membership_at(node->applied_);
  snapshot.data_ = std::to_string(node->state_hash_);
  snapshot.data_.insert(0, kStateBytes - snapshot.data_.size(), '0');
  disk.entries_.erase(
      disk.entries_.begin(),
      disk.entries_.begin() +
          static_cast<ptrdiff_t>(snapshot.index_ - disk.snapshot_.index_));
  disk.snapshot_ = snapshot;
  if (!MaybeCrash(node)) {
    node->raft_->Compact(std::move(snapshot));
  }
}

}  // namespace citronlane
