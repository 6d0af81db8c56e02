#ifndef CITRONLANE_TRANSPORT_REPLICATION_GREETING_H_
#define CITRONLANE_TRANSPORT_REPLICATION_GREETING_H_

#include <cstdint>
#include <map>

namespace citronlane {

/// Description of a control VM that its peers request before a cluster is
/// formed.
struct ReplicationGreeting {
  uint64_t node_ = 0;
  uint64_t incarnation_ = 0;
  /// Whether the node's disk belongs to a cluster.
  bool formed_ = false;
  /// Incarnations by node id: of the cluster's voters, or 0 for each initial
  /// voter of the node's settings if it belongs to no cluster.
  std::map<uint64_t, uint64_t> incarnations_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_GREETING_H_
