#include "citronlane/consensus/detail/membership_history.h"

#include <set>
#include <utility>

#include "citronlane/consensus/membership_codec.h"

namespace citronlane {
namespace {

constexpr size_t kMaxVoters = 7;

// Returns the role and address of a node, or "" when it is not a member.
std::string DescribeMember(const Membership& membership, uint64_t id) {
  if (const auto it = membership.voters_.find(id);
      it != membership.voters_.end()) {
    return "voter " + it->second;
  }
  if (const auto it = membership.learners_.find(id);
      it != membership.learners_.end()) {
    return "learner " + it->second;
  }
  return "";
}

std::set<uint64_t> ChangedNodes(const Membership& current,
                                const Membership& next) {
  std::set<uint64_t> ids;
  for (const Membership* membership : {&current, &next}) {
    for (const auto* nodes : {&membership->voters_, &membership->learners_}) {
      for (const auto& [id, address] : *nodes) {
        if (DescribeMember(current, id) != DescribeMember(next, id)) {
          ids.insert(id);
        }
      }
    }
  }
  return ids;
}

}  // namespace

MembershipHistory::MembershipHistory(uint64_t index, Membership membership) {
  Reset(index, std::move(membership));
}

void MembershipHistory::Append(absl::Span<const Entry> entries) {
  for (const Entry& entry : entries) {
    if (entry.kind_ != EntryKind::kMembership ||
        entry.index_ <= current_index()) {
      continue;
    }
    Error ignored;
    if (auto membership = DecodeMembership(entry.payload_, &ignored)) {
      items_.push_back(Item{entry.index_, std::move(*membership)});
    }
  }
}

void MembershipHistory::Truncate(uint64_t index) {
  while (items_.size() > 1 && items_.back().index_ >= index) {
    items_.pop_back();
  }
}

void MembershipHistory::Compact(uint64_t index) {
  while (items_.size() > 1 && items_[1].index_ <= index) {
    items_.pop_front();
  }
}

void MembershipHistory::Reset(uint64_t index, Membership membership) {
  items_.clear();
  items_.push_back(Item{index, std::move(membership)});
}

const Membership& MembershipHistory::At(uint64_t index) const {
  size_t i = items_.size() - 1;
  while (i > 0 && items_[i].index_ > index) {
    --i;
  }
  return items_[i].membership_;
}

bool IsValidMembershipChange(const Membership& current,
                             const Membership& next,
                             Error* error) {
  if (next.voters_.empty() || next.voters_.size() > kMaxVoters) {
    error->message_ = "a membership has 1 to 7 voters";
    return false;
  }
  const std::set<uint64_t> changed = ChangedNodes(current, next);
  if (changed.size() != 1) {
    error->message_ = "a membership change concerns exactly one node";
    return false;
  }
  const uint64_t id = *changed.begin();
  if (!DescribeMember(current, id).empty()) {
    return true;
  }
  if (next.voters_.count(id) != 0) {
    error->message_ = "a new node joins as a learner first";
    return false;
  }
  if (id <= current.last_id_) {
    error->message_ = "node id " + std::to_string(id) +
                      " was used before; take one above " +
                      std::to_string(current.last_id_);
    return false;
  }
  return true;
}

}  // namespace citronlane
