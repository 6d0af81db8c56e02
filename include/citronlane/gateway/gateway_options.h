#ifndef CITRONLANE_GATEWAY_GATEWAY_OPTIONS_H_
#define CITRONLANE_GATEWAY_GATEWAY_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/http_limits.h"
#include "citronlane/transport/stage_limits.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Settings of a gateway process, already checked.
struct GatewayOptions {
  /// Unique among the gateways; part of every request id.
  std::string name_ = "gateway";
  /// Differs at each start and rises; 0 takes the start time in Unix
  /// milliseconds.
  uint64_t incarnation_ = 0;
  std::string failure_domain_;
  /// Listener for callers: an IP number. Port 0 takes any free port.
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 8080;
  /// Threads that serve callers, each with its own connections.
  size_t threads_ = 4;
  /// "IP:port" of the control VMs; empty runs without control.
  std::vector<std::string> control_addresses_;
  /// Towards the control VMs.
  TlsFiles control_tls_;
  /// Without control: file with the whole configuration, read once at start.
  std::string bootstrap_config_;
  /// Key of the signature on refusals; the same on all gateways.
  std::string receipt_key_;
  HttpLimits http_limits_;
  StageLimits stage_limits_;
  /// After a stop signal: how long new work is still taken while /readyz
  /// already says no, so that the balancer can notice.
  Duration drain_notice_ = std::chrono::seconds(2);
  /// Longest time for work in flight after that.
  Duration drain_limit_ = std::chrono::seconds(60);
  /// How long the configuration holds after its last confirmation.
  Duration config_lease_ = std::chrono::seconds(3);
  /// Largest answer stored under an Idempotency-Key.
  uint64_t stored_answer_bytes_ = 64ULL * 1024;
  /// Refusals kept until they are sent to control; older ones are dropped and
  /// counted.
  size_t refusal_backlog_ = 4096;
  /// Extra calls as a share of first calls.
  double hedge_budget_ = 0.05;
  double retry_budget_ = 0.10;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_OPTIONS_H_
