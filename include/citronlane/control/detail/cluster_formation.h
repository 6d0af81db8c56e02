#ifndef CITRONLANE_CONTROL_DETAIL_CLUSTER_FORMATION_H_
#define CITRONLANE_CONTROL_DETAIL_CLUSTER_FORMATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "citronlane/transport/replication_greeting.h"

namespace citronlane {

/// Decides whether a node with an empty disk may be a voter of a new cluster.
/// It may only if all the other initial voters are empty too and have the same
/// voters in their settings, or one of them formed the cluster with this very
/// disk. Pure; not thread safe.
class ClusterFormation {
 public:
  enum class State { kWaiting, kFormed, kRefused };

  /// `others` are the initial voters but for the own node.
  ClusterFormation(uint64_t own_id,
                   uint64_t own_incarnation,
                   std::set<uint64_t> others);

  /// Takes the answer of a voter that was asked in round `round`. Rounds rise
  /// by one; all voters are asked in each.
  State Take(uint64_t round, const ReplicationGreeting& greeting);

  State state() const { return state_; }
  /// kFormed: incarnations of all initial voters.
  const std::map<uint64_t, uint64_t>& incarnations() const { return seen_; }
  /// kRefused: one line for the operator.
  const std::string& refusal() const { return refusal_; }

 private:
  void TakeFormed(const ReplicationGreeting& greeting);
  void TakeEmpty(uint64_t round, const ReplicationGreeting& greeting);
  void FormIfConfirmed();
  bool HasSameVoters(const ReplicationGreeting& greeting) const;
  void Refuse(std::string reason);

  const uint64_t own_id_;
  const uint64_t own_incarnation_;
  const std::set<uint64_t> others_;
  State state_ = State::kWaiting;
  std::map<uint64_t, uint64_t> seen_;
  /// Round in which the last incarnation became known. Each voter has to
  /// confirm in a later one that it is still empty.
  uint64_t complete_round_ = 0;
  std::set<uint64_t> confirmed_;
  std::string refusal_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CLUSTER_FORMATION_H_
