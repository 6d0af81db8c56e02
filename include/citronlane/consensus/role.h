#ifndef CITRONLANE_CONSENSUS_ROLE_H_
#define CITRONLANE_CONSENSUS_ROLE_H_

namespace citronlane {

/// Part a control VM plays in the present term.
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader, kLearner };

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_ROLE_H_
