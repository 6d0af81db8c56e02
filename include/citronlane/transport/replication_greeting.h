#ifndef CITRONLANE_TRANSPORT_REPLICATION_GREETING_H_
#define CITRONLANE_TRANSPORT_REPLICATION_GREETING_H_

#include <cstdint>
#include <map>

namespace citronlane {

/// What a control VM says of itself before a cluster is formed.
struct ReplicationGreeting {
  uint64_t node_ = 0;
  uint64_t incarnation_ = 0;
  /// Whether its disk belongs to a cluster, and the incarnations of that
  /// cluster's voters. When it does not: the initial voters of its settings,
  /// each with 0.
  bool formed_ = false;
  std::map<uint64_t, uint64_t> incarnations_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_GREETING_H_
