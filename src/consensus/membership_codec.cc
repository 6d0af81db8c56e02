#include "citronlane/consensus/membership_codec.h"

#include "replication.pb.h"

namespace citronlane {

std::string EncodeMembership(const Membership& membership) {
  wire::MemberMap map;
  map.mutable_voters()->insert(membership.voters_.begin(),
                               membership.voters_.end());
  map.mutable_learners()->insert(membership.learners_.begin(),
                                 membership.learners_.end());
  map.mutable_incarnations()->insert(membership.incarnations_.begin(),
                                     membership.incarnations_.end());
  map.set_last_id(membership.last_id_);
  return map.SerializeAsString();
}

std::optional<Membership> DecodeMembership(std::string_view data,
                                           Error* error) {
  wire::MemberMap map;
  if (!map.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
    error->message_ = "the membership entry is damaged";
    return std::nullopt;
  }
  Membership membership;
  membership.voters_.insert(map.voters().begin(), map.voters().end());
  membership.learners_.insert(map.learners().begin(), map.learners().end());
  membership.incarnations_.insert(map.incarnations().begin(),
                                  map.incarnations().end());
  membership.last_id_ = map.last_id();
  return membership;
}

}  // namespace citronlane
