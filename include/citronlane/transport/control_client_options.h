#ifndef CITRONLANE_TRANSPORT_CONTROL_CLIENT_OPTIONS_H_
#define CITRONLANE_TRANSPORT_CONTROL_CLIENT_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Settings of a ControlClient.
struct ControlClientOptions {
  /// Name of the gateway; unique among the gateways.
  std::string gateway_;
  /// Must increase with each start of the gateway.
  uint64_t incarnation_ = 0;
  std::string failure_domain_;
  /// "IP:port" of some control VMs, at least one; they report the others.
  std::vector<std::string> addresses_;
  /// Length of the configuration lease; must equal that on the control VMs.
  Duration lease_ = std::chrono::seconds(3);
  /// How often the lease is renewed at the watched node. As many others as form
  /// a majority with it are requested half as often.
  Duration renew_interval_ = std::chrono::milliseconds(650);
  /// Another node is watched when the watched one was silent for this long.
  /// Must exceed renew_interval_: the difference is the timeout of one renewal.
  Duration watch_timeout_ = std::chrono::milliseconds(950);
  /// Timeout of one attempt of a call, and of a claim or report with all its
  /// retries. A finish completes after finish_timeout_ at the latest, while its
  /// retries continue in the background.
  Duration try_timeout_ = std::chrono::milliseconds(500);
  Duration claim_timeout_ = std::chrono::seconds(3);
  Duration finish_timeout_ = std::chrono::seconds(3);
  Duration retry_delay_ = std::chrono::milliseconds(50);
  Duration report_interval_ = std::chrono::seconds(1);
  /// Maximum number of pending claims and finishes; more fail as unavailable.
  size_t max_pending_ = 4096;
  TlsFiles tls_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_CLIENT_OPTIONS_H_
