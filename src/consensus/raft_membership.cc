#include <algorithm>
#include <utility>

#include "citronlane/consensus/detail/raft_impl.h"
#include "citronlane/consensus/membership_codec.h"

namespace citronlane {

std::optional<uint64_t> RaftNode::Impl::ProposeMembership(TimePoint now,
                                                          Membership membership,
                                                          Error* error) {
  now_ = now;
  const Membership& current = memberships_.current();
  if (!CanPropose(error) ||
      !IsValidMembershipChange(current, membership, error)) {
    return std::nullopt;
  }
  if (memberships_.current_index() > log_.applied()) {
    error->message_ = "another membership change is not yet applied";
    return std::nullopt;
  }
  if (log_.TermAt(log_.commit()) != term()) {
    error->message_ = "the leader has committed nothing in its term yet";
    return std::nullopt;
  }
  membership.last_id_ = current.last_id_;
  membership.incarnations_.clear();
  for (const auto& [id, address] : membership.learners_) {
    membership.last_id_ = std::max(membership.last_id_, id);
  }
  for (const auto& [id, address] : membership.voters_) {
    if (current.voters_.count(id) == 0 && !IsCaughtUp(id)) {
      error->message_ = "the learner is not caught up";
      return std::nullopt;
    }
    const auto known = current.incarnations_.find(id);
    if (known != current.incarnations_.end()) {
      membership.incarnations_.insert(*known);
    } else if (current.voters_.count(id) == 0) {
      membership.incarnations_[id] = progress_[id].incarnation_;
    }
  }
  const uint64_t index = log_.Append(
      Entry{0, term(), EntryKind::kMembership, EncodeMembership(membership)});
  memberships_.Append(absl::MakeConstSpan(&log_.At(index), 1));
  SyncProgress();
  return index;
}

// Whether the node has every committed entry on disk and replied to a round of
// the last election timeout.
bool RaftNode::Impl::IsCaughtUp(uint64_t id) const {
  const auto it = progress_.find(id);
  return it != progress_.end() && it->second.match_ >= log_.commit() &&
         rounds_.BeganAt(it->second.acked_round_) + options_.election_timeout_ >
             now_;
}

void RaftNode::Impl::SyncProgress() {
  const Membership& current = memberships_.current();
  const auto keep = [&](uint64_t id) {
    return id != options_.id_ &&
           (current.voters_.count(id) != 0 || current.learners_.count(id) != 0);
  };
  for (auto it = progress_.begin(); it != progress_.end();) {
    it = keep(it->first) ? std::next(it) : progress_.erase(it);
  }
  for (const auto* nodes : {&current.voters_, &current.learners_}) {
    for (const auto& [id, address] : *nodes) {
      if (!keep(id) || progress_.count(id) != 0) {
        continue;
      }
      progress_[id].next_ = log_.last_index() + 1;
    }
  }
}

void RaftNode::Impl::StepDownIfRemoved() {
  if (!IsVoter(options_.id_) &&
      memberships_.current_index() <= log_.applied()) {
    BecomeFollower(term(), 0);
  }
}

}  // namespace citronlane
