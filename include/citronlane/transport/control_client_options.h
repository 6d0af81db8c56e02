#ifndef CITRONLANE_TRANSPORT_CONTROL_CLIENT_OPTIONS_H_
#define CITRONLANE_TRANSPORT_CONTROL_CLIENT_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// How a gateway talks to the control VMs.
struct ControlClientOptions {
  std::string gateway_;
  /// Differs at each start of the gateway, and rises.
  uint64_t incarnation_ = 0;
  std::string failure_domain_;
  /// "IP:port" of control VMs to begin with; others become known through them.
  std::vector<std::string> addresses_;
  /// Length of the configuration lease; the same as on the control VMs.
  Duration lease_ = std::chrono::seconds(3);
  /// The node that is watched is asked this often, and as many others as make
  /// a majority with it half as often.
  Duration renew_interval_ = std::chrono::milliseconds(650);
  /// A node that is watched and silent for this long is left. Above
  /// renew_interval_: the difference is the time a question may take.
  Duration watch_timeout_ = std::chrono::milliseconds(950);
  /// One try of a call, and a claim or report with all its retries. A finish is
  /// answered after finish_timeout_ at the latest and goes on in the
  /// background.
  Duration try_timeout_ = std::chrono::milliseconds(500);
  Duration claim_timeout_ = std::chrono::seconds(3);
  Duration finish_timeout_ = std::chrono::seconds(3);
  Duration retry_delay_ = std::chrono::milliseconds(50);
  Duration report_interval_ = std::chrono::seconds(1);
  /// Calls waiting at once; more are answered as unavailable.
  size_t max_pending_ = 4096;
  TlsFiles tls_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_CLIENT_OPTIONS_H_
