#ifndef CITRONLANE_CONTROL_DETAIL_CLUSTER_FORMATION_H_
#define CITRONLANE_CONTROL_DETAIL_CLUSTER_FORMATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "citronlane/transport/replication_greeting.h"

namespace citronlane {

/// Decides whether a node with an empty disk may be a voter of a new cluster.
/// It may only if all the other initial voters have empty disks too and the
/// same voters in their settings, or if one of them has formed the cluster with
/// this node's disk. Does no I/O. Not thread safe.
class ClusterFormation {
 public:
  enum class State { kWaiting, kFormed, kRefused };

  /// `others` are the initial voters except for this node.
  ClusterFormation(uint64_t own_id,
                   uint64_t own_incarnation,
                   std::set<uint64_t> others);

  /// Handles a voter's greeting reply to round `round` and returns the new
  /// state. Rounds increase by one; each is sent to all voters.
  State HandleGreeting(uint64_t round, const ReplicationGreeting& greeting);

  State state() const { return state_; }
  /// kFormed: disk incarnations of all initial voters.
  const std::map<uint64_t, uint64_t>& incarnations() const {
    return incarnations_;
  }
  /// kRefused: the reason, on one line.
  const std::string& refusal() const { return refusal_; }

 private:
  void HandleFormed(const ReplicationGreeting& greeting);
  void HandleEmpty(uint64_t round, const ReplicationGreeting& greeting);
  void FormIfConfirmed();
  bool HasSameVoters(const ReplicationGreeting& greeting) const;
  void Refuse(std::string reason);

  const uint64_t own_id_;
  const uint64_t own_incarnation_;
  const std::set<uint64_t> others_;
  State state_ = State::kWaiting;
  std::map<uint64_t, uint64_t> incarnations_;
  /// Round in which the last incarnation became known. Each voter has to
  /// confirm in a later round that its disk is still empty.
  uint64_t last_incarnation_round_ = 0;
  std::set<uint64_t> confirmed_;
  std::string refusal_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CLUSTER_FORMATION_H_
