#ifndef CITRONLANE_CONSENSUS_MEMBERSHIP_H_
#define CITRONLANE_CONSENSUS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>

namespace citronlane {

/// The control VMs of the cluster by node id: voters elect leaders and commit
/// entries, learners only receive the log. Each value is the "IP:port" of the
/// VM's internal service.
struct Membership {
  std::map<uint64_t, std::string> voters_;
  std::map<uint64_t, std::string> learners_;
  /// Disk incarnation of each voter, recorded when it became one. A message
  /// with the voter's id and another incarnation is ignored: its sender started
  /// on an empty disk and has lost its votes and entries.
  std::map<uint64_t, uint64_t> incarnations_;
  /// Highest node id ever used. A new learner's id must be above it, so that no
  /// id is used twice.
  uint64_t last_id_ = 0;
};

inline bool operator==(const Membership& a, const Membership& b) {
  return a.voters_ == b.voters_ && a.learners_ == b.learners_ &&
         a.incarnations_ == b.incarnations_ && a.last_id_ == b.last_id_;
}

inline bool operator!=(const Membership& a, const Membership& b) {
  return !(a == b);
}

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_MEMBERSHIP_H_
