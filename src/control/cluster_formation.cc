#include "citronlane/control/detail/cluster_formation.h"

#include <algorithm>
#include <utility>

namespace citronlane {

ClusterFormation::ClusterFormation(uint64_t own_id,
                                   uint64_t own_incarnation,
                                   std::set<uint64_t> others)
    : own_id_(own_id),
      own_incarnation_(own_incarnation),
      others_(std::move(others)),
      incarnations_({{own_id, own_incarnation}}) {
  FormIfConfirmed();
}

ClusterFormation::State ClusterFormation::HandleGreeting(
    uint64_t round,
    const ReplicationGreeting& greeting) {
  if (state_ != State::kWaiting || others_.count(greeting.node_) == 0) {
    return state_;
  }
  if (greeting.formed_) {
    HandleFormed(greeting);
  } else {
    HandleEmpty(round, greeting);
  }
  return state_;
}

void ClusterFormation::HandleFormed(const ReplicationGreeting& greeting) {
  const auto own = greeting.incarnations_.find(own_id_);
  if (own == greeting.incarnations_.end() || own->second != own_incarnation_) {
    Refuse("node " + std::to_string(greeting.node_) +
           " belongs to a cluster that does not know this empty disk; add "
           "this VM as a learner under an id never used, and remove node " +
           std::to_string(own_id_));
    return;
  }
  for (const uint64_t id : others_) {
    const auto it = greeting.incarnations_.find(id);
    if (it == greeting.incarnations_.end()) {
      // The voters changed since the formation; this node gets the membership
      // in force from the leader.
      return;
    }
    incarnations_[id] = it->second;
  }
  state_ = State::kFormed;
}

void ClusterFormation::HandleEmpty(uint64_t round,
                                   const ReplicationGreeting& greeting) {
  if (!HasSameVoters(greeting)) {
    Refuse("node " + std::to_string(greeting.node_) +
           " has other initial voters in its settings");
    return;
  }
  const auto [it, is_new] =
      incarnations_.emplace(greeting.node_, greeting.incarnation_);
  if (is_new || it->second != greeting.incarnation_) {
    it->second = greeting.incarnation_;
    last_incarnation_round_ = std::max(last_incarnation_round_, round);
    confirmed_.clear();
    return;
  }
  if (incarnations_.size() == others_.size() + 1 &&
      round > last_incarnation_round_) {
    confirmed_.insert(greeting.node_);
  }
  FormIfConfirmed();
}

bool ClusterFormation::HasSameVoters(
    const ReplicationGreeting& greeting) const {
  const auto& theirs = greeting.incarnations_;
  return theirs.size() == others_.size() + 1 && theirs.count(own_id_) != 0 &&
         std::all_of(others_.begin(), others_.end(),
                     [&](uint64_t id) { return theirs.count(id) != 0; });
}

void ClusterFormation::Refuse(std::string reason) {
  state_ = State::kRefused;
  refusal_ = std::move(reason);
}

void ClusterFormation::FormIfConfirmed() {
  if (confirmed_.size() == others_.size()) {
    state_ = State::kFormed;
  }
}

}  // namespace citronlane
