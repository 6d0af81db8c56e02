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

/// Settings of a gateway process, already validated.
struct GatewayOptions {
  /// Unique among the gateways; prefix of every request id.
  std::string name_ = "gateway";
  /// Must increase with each start of the process; 0 uses the start time in
  /// Unix milliseconds.
  uint64_t incarnation_ = 0;
  std::string failure_domain_;
  /// IP address to listen on for callers. Port 0 selects a free port.
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 8080;
  /// Number of threads that serve callers, each with its own connections to
  /// the backend servers.
  size_t threads_ = 4;
  /// "IP:port" of the control VMs; empty to run without them.
  std::vector<std::string> control_addresses_;
  /// TLS files for connections to the control VMs.
  TlsFiles control_tls_;
  /// File with the complete configuration, read once at the start. Used only
  /// without control VMs.
  std::string bootstrap_config_;
  /// HMAC key that signs refusals; the same on all gateways.
  std::string receipt_key_;
  HttpLimits http_limits_;
  StageLimits stage_limits_;
  /// How long new requests are still accepted after a stop signal, while
  /// /readyz already reports that the gateway isn't ready. Gives the load
  /// balancer time to notice.
  Duration drain_notice_ = std::chrono::seconds(2);
  /// How long requests in flight may take to end after that.
  Duration drain_limit_ = std::chrono::seconds(60);
  /// How long the configuration is valid after its last confirmation by the
  /// control VMs.
  Duration config_lease_ = std::chrono::seconds(3);
  /// Maximum size of an answer stored under an Idempotency-Key.
  uint64_t stored_answer_bytes_ = 64ULL * 1024;
  /// Maximum number of refusals that wait to be sent to the control VMs. See
  /// RefusalBacklog for which are dropped beyond that.
  size_t refusal_backlog_ = 4096;
  /// Budgets for hedges and retries, as a fraction of the first calls.
  double hedge_budget_ = 0.05;
  double retry_budget_ = 0.10;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_OPTIONS_H_
