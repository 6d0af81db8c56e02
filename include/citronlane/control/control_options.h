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

/// Settings of a control process, already checked.
struct ControlOptions {
  /// Its `raft_.id_` names this node; `listen_` and `initial_voters_` are
  /// filled from `peers_` by ControlNode when they are empty.
  ReplicaOptions replica_;
  /// Every control VM by node id, this one with it. VMs added later become
  /// known through the replicated state.
  std::map<uint64_t, ControlPeer> peers_;
  /// This VM joins a running cluster as a learner: it starts without voters.
  bool join_ = false;
  /// Operators of the administration API; without any it answers only
  /// /healthz and /metrics.
  std::vector<OperatorKey> operators_;
  StateLimits limits_;
  /// How long a gateway may serve on an unconfirmed configuration. The same on
  /// gateways and control VMs.
  Duration config_lease_ = std::chrono::seconds(3);
  /// A gateway silent for longer is taken out of the registry; its running
  /// claims count as lost.
  Duration gateway_timeout_ = std::chrono::seconds(15);
  /// "IP:port" of the platform's VM list; empty polls nothing.
  std::string platform_;
  Duration platform_interval_ = std::chrono::milliseconds(500);
  /// Orders to engines a second over the whole fleet that read from the weight
  /// store, and how many of them at once.
  double weight_store_rate_ = 1.0;
  uint32_t weight_store_burst_ = 2;
  /// Time a share of spend is valid.
  Duration spend_lease_ = std::chrono::seconds(5);
  /// Watch streams and waiting calls served at once.
  size_t max_watchers_ = 1024;
  size_t max_pending_calls_ = 8192;
  TlsFiles internal_tls_;
  TlsFiles admin_tls_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_OPTIONS_H_
