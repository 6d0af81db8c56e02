#ifndef CITRONLANE_CONTROL_MEMBERSHIP_KEEPER_H_
#define CITRONLANE_CONTROL_MEMBERSHIP_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/consensus/membership.h"
#include "citronlane/control/membership_step.h"

namespace citronlane {

/// Decides on the membership changes of the control VMs, so that no operator is
/// needed: adds new VMs and those with an empty disk as learners, promotes
/// learners to voters, and replaces voters that are lost. Used by the leader,
/// which carries the changes out. Does no I/O. Not thread safe.
class MembershipKeeper {
 public:
  struct Options {
    /// Number of voters to aim for: twice the tolerated losses plus one.
    size_t target_voters_ = 3;
    /// A node that sent nothing for this long does not count as alive.
    Duration alive_ = std::chrono::milliseconds(800);
    /// A voter that sent nothing for this long is replaced by a learner that is
    /// alive. Longer than a restart takes.
    Duration replace_after_ = std::chrono::milliseconds(2500);
    /// A learner that sent nothing for this long is removed; it may join again.
    Duration drop_learner_after_ = std::chrono::seconds(8);
  };

  explicit MembershipKeeper(const Options& options);

  /// Records that a VM requests to join; see MemberAddress for `nonce`. The
  /// request is kept until the VM is a member.
  void AddJoinRequest(const std::string& endpoint, uint64_t nonce);
  /// Records that a message of the node was received.
  void RecordContact(uint64_t id, TimePoint now);
  /// Resets the state when this node becomes the leader: all members count as
  /// in contact at `now`, and join requests are dropped.
  void StartLeading(const Membership& membership, TimePoint now);

  /// Returns the next membership change that is due, if any. `self` is the id
  /// of the leader.
  std::optional<MembershipStep> Next(const Membership& membership,
                                     uint64_t self,
                                     TimePoint now);

 private:
  bool IsAlive(uint64_t id, uint64_t self, TimePoint now) const;
  bool IsSilent(uint64_t id,
                uint64_t self,
                TimePoint now,
                Duration longer_than) const;
  bool MayRemoveVoter(const Membership& membership,
                      uint64_t id,
                      uint64_t self,
                      TimePoint now) const;
  std::optional<MembershipStep> NextForJoinRequests(
      const Membership& membership,
      uint64_t self,
      TimePoint now);
  std::optional<MembershipStep> NextForCurrentMembers(
      const Membership& membership,
      uint64_t self,
      TimePoint now) const;

  const Options options_;
  std::map<uint64_t, TimePoint> last_contact_;
  /// Latest nonce of each endpoint that requests to join.
  std::map<std::string, uint64_t> join_requests_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_MEMBERSHIP_KEEPER_H_
