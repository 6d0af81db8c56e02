#ifndef CITRONLANE_CONTROL_MEMBERSHIP_STEP_H_
#define CITRONLANE_CONTROL_MEMBERSHIP_STEP_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One change of the membership and its reason.
struct MembershipStep {
  enum class Kind { kAddLearner, kPromote, kRemove };

  Kind kind_ = Kind::kAddLearner;
  uint64_t id_ = 0;
  /// kAddLearner: address of the learner; see MemberAddress.
  std::string address_;
  /// Reason of the change, for the log.
  std::string reason_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_MEMBERSHIP_STEP_H_
