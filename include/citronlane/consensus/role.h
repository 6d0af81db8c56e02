#ifndef CITRONLANE_CONSENSUS_ROLE_H_
#define CITRONLANE_CONSENSUS_ROLE_H_

namespace citronlane {

/// Raft role of a control VM in the current term.
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader, kLearner };

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_ROLE_H_
