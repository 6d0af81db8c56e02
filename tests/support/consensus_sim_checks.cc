#include <functional>

#include "citronlane/consensus/membership_codec.h"
#include "support/consensus_sim.h"

namespace citronlane {
namespace {

uint64_t Mix(uint64_t hash, uint64_t index, const std::string& payload) {
  return (hash ^ (index * 0x9E3779B97F4A7C15ULL)) * 0xBF58476D1CE4E5B9ULL +
         std::hash<std::string>()(payload);
}

}  // namespace

bool ConsensusSim::HasApplied(uint64_t id, const Place& place) const {
  const Node& node = nodes_.at(id);
  return node.raft_ && node.applied_ >= place.index_ &&
         committed_[place.index_].term_ == place.term_;
}

bool ConsensusSim::Leads(uint64_t id) const {
  const Node& node = nodes_.at(id);
  return HasLease(id) && committed_[node.applied_].term_ == node.raft_->term();
}

std::vector<std::string> ConsensusSim::AppliedBy(uint64_t id) const {
  std::vector<std::string> commands;
  for (uint64_t i = 0; i <= nodes_.at(id).applied_; ++i) {
    commands.push_back(committed_[i].payload_);
  }
  return commands;
}

void ConsensusSim::Apply(Node* node, const Ready& ready) {
  if (ready.snapshot_) {
    node->applied_ = ready.snapshot_->index_;
    node->state_hash_ = std::stoull(ready.snapshot_->data_);
    ++installed_snapshots_;
    if (node->applied_ >= committed_.size() ||
        committed_[node->applied_].state_hash_ != node->state_hash_) {
      AddFault("snapshot differs at " + std::to_string(node->applied_));
    }
  }
  for (const Entry& entry : ready.committed_) {
    ApplyEntry(node, entry);
  }
  for (const auto& [context, index] : ready.confirmed_reads_) {
    ++confirmed_reads_;
    if (index < read_floor_[context] || index > node->applied_) {
      AddFault("stale read " + std::to_string(context) + " at node " +
               std::to_string(node->id_));
    }
  }
}

void ConsensusSim::ApplyEntry(Node* node, const Entry& entry) {
  if (entry.index_ != node->applied_ + 1) {
    AddFault("applied out of order at node " + std::to_string(node->id_));
  }
  node->applied_ = entry.index_;
  node->state_hash_ = Mix(node->state_hash_, entry.index_, entry.payload_);
  if (entry.index_ == committed_.size()) {
    committed_.push_back({entry.term_, entry.payload_, node->state_hash_});
  }
  const Committed& known = committed_[entry.index_];
  if (known.term_ != entry.term_ || known.payload_ != entry.payload_ ||
      known.state_hash_ != node->state_hash_) {
    AddFault("committed entry " + std::to_string(entry.index_) +
             " changed at node " + std::to_string(node->id_));
  }
  if (entry.kind_ == EntryKind::kMembership &&
      entry.index_ > membership_index_) {
    Error error;
    membership_ = *DecodeMembership(entry.payload_, &error);
    membership_index_ = entry.index_;
  }
}

void ConsensusSim::CheckVotes(const Node& from, const Message& message) {
  uint64_t candidate = 0;
  if (message.kind_ == MessageKind::kVote) {
    candidate = from.id_;
  } else if (message.kind_ == MessageKind::kVoteReply && !message.reject_) {
    candidate = message.to_;
  } else {
    return;
  }
  const auto [it, first] =
      votes_.emplace(std::make_pair(from.id_, message.term_), candidate);
  if (!first && it->second != candidate) {
    AddFault("node " + std::to_string(from.id_) + " voted twice in term " +
             std::to_string(message.term_));
  }
}

void ConsensusSim::CheckLeaders() {
  int leases = 0;
  for (auto& [id, node] : nodes_) {
    if (!node.raft_ || node.raft_->role() != Role::kLeader) {
      node.role_ = Role::kFollower;
      continue;
    }
    leases += HasLease(id) ? 1 : 0;
    const auto [it, first] = leader_of_term_.emplace(node.raft_->term(), id);
    if (it->second != id) {
      AddFault("two leaders in term " + std::to_string(node.raft_->term()));
    }
    if (node.role_ == Role::kLeader) {
      continue;
    }
    node.role_ = Role::kLeader;
    const uint64_t last = committed_.size() - 1;
    const bool holds = node.raft_->TermAt(last) == committed_[last].term_ ||
                       node.disk_.snapshot_.index_ >= last;
    if (first && last > 1 && committed_[last].term_ < node.raft_->term() &&
        !holds) {
      AddFault("leader " + std::to_string(id) + " lacks committed entry " +
               std::to_string(last));
    }
  }
  if (leases > 1) {
    AddFault("two leaders hold a lease");
  }
}

void ConsensusSim::CheckLogs() {
  std::map<uint64_t, std::map<uint64_t, std::string>> by_position;
  for (const auto& [id, node] : nodes_) {
    uint64_t previous = node.disk_.snapshot_.term_;
    for (const Entry& entry : node.disk_.entries_) {
      const std::string value = std::to_string(previous) + "/" + entry.payload_;
      const auto [it, first] =
          by_position[entry.index_].emplace(entry.term_, value);
      if (!first && it->second != value) {
        AddFault("logs differ at " + std::to_string(entry.index_));
      }
      previous = entry.term_;
    }
  }
}

void ConsensusSim::AddFault(const std::string& line) {
  if (faults_.size() < 8) {
    faults_.push_back("at " + std::to_string(now_us_) + " us: " + line);
  }
}

}  // namespace citronlane
