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

/// Keeps the membership of the control VMs whole without an operator: takes
/// empty disks and new VMs in as learners, makes them voters, and replaces
/// voters that are gone. Pure; used by the leader. Not thread safe.
class MembershipKeeper {
 public:
  struct Options {
    /// Voters that bear the losses the settings name: twice as many and one.
    size_t target_voters_ = 3;
    /// A node that was silent this long does not count as alive.
    Duration alive_ = std::chrono::milliseconds(800);
    /// A voter that was silent this long gives its place to a learner that is
    /// alive. Longer than a restart takes.
    Duration replace_after_ = std::chrono::milliseconds(2500);
    /// A learner that was silent this long is dropped; it joins anew.
    Duration drop_learner_after_ = std::chrono::seconds(8);
  };

  explicit MembershipKeeper(const Options& options);

  /// A VM asks to be a member; see MemberAddress. Kept until it is one.
  void Wish(const std::string& endpoint, uint64_t nonce);
  /// A message of the node came in.
  void Heard(uint64_t id, TimePoint now);
  /// This node began to lead: everybody counts as heard just now.
  void StartLeading(const Membership& membership, TimePoint now);

  /// The next change that is due, if any. `self` is the leader.
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
  std::optional<MembershipStep> NextForWishes(const Membership& membership,
                                              uint64_t self,
                                              TimePoint now);
  std::optional<MembershipStep> NextForLearners(const Membership& membership,
                                                uint64_t self,
                                                TimePoint now) const;

  const Options options_;
  std::map<uint64_t, TimePoint> heard_;
  /// Latest nonce of each endpoint that wants to join.
  std::map<std::string, uint64_t> wishes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_MEMBERSHIP_KEEPER_H_
