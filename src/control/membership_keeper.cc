#include "citronlane/control/membership_keeper.h"

#include <utility>

#include "citronlane/control/member_address.h"

namespace citronlane {
namespace {

using Step = MembershipStep;

// Returns the id of the node at that endpoint with another nonce, or 0.
uint64_t FindOlderNode(const std::map<uint64_t, std::string>& nodes,
                       const std::string& endpoint,
                       const std::string& address) {
  for (const auto& [id, other] : nodes) {
    if (other != address && EndpointOf(other) == endpoint) {
      return id;
    }
  }
  return 0;
}

bool Holds(const std::map<uint64_t, std::string>& nodes,
           const std::string& address) {
  for (const auto& [id, other] : nodes) {
    if (other == address) {
      return true;
    }
  }
  return false;
}

}  // namespace

MembershipKeeper::MembershipKeeper(const Options& options)
    : options_(options) {}

void MembershipKeeper::AddJoinRequest(const std::string& endpoint,
                                      uint64_t nonce) {
  join_requests_[endpoint] = nonce;
}

void MembershipKeeper::RecordContact(uint64_t id, TimePoint now) {
  last_contact_[id] = now;
}

void MembershipKeeper::StartLeading(const Membership& membership,
                                    TimePoint now) {
  last_contact_.clear();
  join_requests_.clear();
  for (const auto* nodes : {&membership.voters_, &membership.learners_}) {
    for (const auto& [id, address] : *nodes) {
      last_contact_[id] = now;
    }
  }
}

std::optional<Step> MembershipKeeper::Next(const Membership& membership,
                                           uint64_t self,
                                           TimePoint now) {
  if (auto step = NextForJoinRequests(membership, self, now)) {
    return step;
  }
  return NextForCurrentMembers(membership, self, now);
}

bool MembershipKeeper::IsAlive(uint64_t id,
                               uint64_t self,
                               TimePoint now) const {
  return !IsSilent(id, self, now, options_.alive_);
}

bool MembershipKeeper::IsSilent(uint64_t id,
                                uint64_t self,
                                TimePoint now,
                                Duration longer_than) const {
  if (id == self) {
    return false;
  }
  const auto it = last_contact_.find(id);
  return it == last_contact_.end() || now - it->second >= longer_than;
}

// The remaining voters must have a live majority, or the change would stop the
// cluster instead of repairing it.
bool MembershipKeeper::MayRemoveVoter(const Membership& membership,
                                      uint64_t id,
                                      uint64_t self,
                                      TimePoint now) const {
  if (id == self || membership.voters_.size() < 2) {
    return false;
  }
  size_t alive = 0;
  for (const auto& [other, address] : membership.voters_) {
    alive += other != id && IsAlive(other, self, now) ? 1 : 0;
  }
  return alive > (membership.voters_.size() - 1) / 2;
}

std::optional<Step> MembershipKeeper::NextForJoinRequests(
    const Membership& membership,
    uint64_t self,
    TimePoint now) {
  for (auto wish = join_requests_.begin(); wish != join_requests_.end();) {
    const std::string& endpoint = wish->first;
    const std::string address = MemberAddress(endpoint, wish->second);
    if (Holds(membership.voters_, address) ||
        Holds(membership.learners_, address)) {
      wish = join_requests_.erase(wish);
      continue;
    }
    // The endpoint's previous disk is lost, and its votes with it.
    const std::string why = "its VM returned with an empty disk";
    if (const uint64_t id =
            FindOlderNode(membership.learners_, endpoint, address)) {
      return Step{Step::Kind::kRemove, id, "", why};
    }
    if (const uint64_t id =
            FindOlderNode(membership.voters_, endpoint, address)) {
      if (MayRemoveVoter(membership, id, self, now)) {
        return Step{Step::Kind::kRemove, id, "", why};
      }
      ++wish;
      continue;
    }
    const uint64_t id = membership.last_id_ + 1;
    // The request counts as contact, since the node has sent nothing else yet.
    last_contact_[id] = now;
    return Step{Step::Kind::kAddLearner, id, address, "it requested to join"};
  }
  return std::nullopt;
}

std::optional<Step> MembershipKeeper::NextForCurrentMembers(
    const Membership& membership,
    uint64_t self,
    TimePoint now) const {
  bool has_live_learner = false;
  for (const auto& [id, address] : membership.learners_) {
    if (IsSilent(id, self, now, options_.drop_learner_after_)) {
      return Step{Step::Kind::kRemove, id, "", "the learner is out of contact"};
    }
    if (!IsAlive(id, self, now)) {
      continue;
    }
    has_live_learner = true;
    if (membership.voters_.size() < options_.target_voters_) {
      return Step{Step::Kind::kPromote, id, "", "voters are missing"};
    }
  }
  if (!has_live_learner) {
    return std::nullopt;
  }
  for (const auto& [id, address] : membership.voters_) {
    if (IsSilent(id, self, now, options_.replace_after_) &&
        MayRemoveVoter(membership, id, self, now)) {
      return Step{Step::Kind::kRemove, id, "", "a learner replaces it"};
    }
  }
  return std::nullopt;
}

}  // namespace citronlane
