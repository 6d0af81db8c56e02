#ifndef CITRONLANE_CONTROL_CONTROL_OPTIONS_H_
#define CITRONLANE_CONTROL_CONTROL_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/control/control_peer.h"
#include "citronlane/control/operator_key.h"
#include "citronlane/control/replica_options.h"
#include "citronlane/state/state_limits.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Validated settings of a control process.
struct ControlOptions {
  /// `raft_.id_` is this node's id. ControlNode fills `listen_` and
  /// `initial_voters_` from `peers_` when they are empty.
  ReplicaOptions replica_;
  /// Every control VM by node id, including this one. VMs added later become
  /// known through the replicated state.
  std::map<uint64_t, ControlPeer> peers_;
  /// Whether this VM joins a running cluster as a learner instead of forming
  /// one with `peers_`.
  bool join_ = false;
  /// Operators of the administration API. Without any it serves only /healthz
  /// and /metrics.
  std::vector<OperatorKey> operators_;
  StateLimits limits_;
  /// How long a gateway may serve on an unconfirmed configuration. Must be the
  /// same on gateways and control VMs.
  Duration config_lease_ = std::chrono::seconds(3);
  /// A gateway without a lease renewal for longer is removed from the registry;
  /// its running claims count as lost.
  Duration gateway_timeout_ = std::chrono::seconds(15);
  /// "IP:port" of the platform's VM list; empty disables polling.
  std::string platform_;
  Duration platform_interval_ = std::chrono::milliseconds(500);
  /// Rate limit, over the fleet, for engine orders that read from the weight
  /// store: orders per second, and the maximum burst of orders.
  double weight_store_rate_ = 1.0;
  uint32_t weight_store_burst_ = 2;
  /// How long a leased share of a spend limit is valid.
  Duration spend_lease_ = std::chrono::seconds(5);
  /// Maximum numbers of open watch streams and of pending calls.
  size_t max_watchers_ = 1024;
  size_t max_pending_calls_ = 8192;
  TlsFiles internal_tls_;
  TlsFiles admin_tls_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_OPTIONS_H_
