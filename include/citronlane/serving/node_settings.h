#ifndef CITRONLANE_SERVING_NODE_SETTINGS_H_
#define CITRONLANE_SERVING_NODE_SETTINGS_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/gateway_capacity.h"

namespace citronlane {

/// Settings of a process of a self-forming fleet: its VM and the limits that it
/// must keep. The settings file may change while the process runs.
struct NodeSettings {
  /// Descriptors for connections and data files: platforms reserve some for
  /// other files.
  uint32_t UsableDescriptors() const {
    constexpr uint32_t kReserved = 200;
    constexpr uint32_t kMin = 64;
    return std::max(max_descriptors_, kReserved + kMin) - kReserved;
  }

  std::string name_;
  std::string ip_;
  std::string failure_domain_;
  /// Addresses as "IP:port"; empty when this VM does not serve it.
  std::string caller_listen_;
  std::string ready_listen_;
  std::string operator_listen_;
  std::string internal_listen_;
  /// Where a gateway takes requests that others forward.
  std::string relay_listen_;
  std::string metrics_listen_;
  /// Internal endpoints of some control VMs.
  std::vector<std::string> seeds_;
  /// Whether the whole system starts for the first time, with empty disks.
  bool first_start_ = false;
  std::string data_dir_;
  /// Number of control VMs whose disks may be lost at the same time.
  uint32_t tolerated_losses_ = 1;
  uint32_t memory_mb_ = 256;
  uint32_t max_descriptors_ = 1024;
  /// Processor and link of the VM.
  GatewayCapacity capacity_{};

  /// Address of the platform's list of backend servers, and the rate of calls
  /// per second that it accepts from all nodes together.
  std::string server_list_address_;
  double server_list_rate_ = 10;

  /// Time within which a leaving server must stop getting new work.
  Duration leaving_bound_ = std::chrono::seconds(3);
  /// Time from the stop signal to the kill.
  Duration grace_ = std::chrono::seconds(8);
  /// Allowed retries in each window over all gateways: a ratio of requests, and
  /// a constant number besides.
  double repeat_ratio_ = 0.1;
  double repeat_extra_ = 0;
  Duration repeat_window_ = std::chrono::seconds(10);
  /// Reading a shared prompt segment again within this time of its last use
  /// counts as a cost when an engine is chosen.
  Duration prompt_reuse_window_ = std::chrono::seconds(10);
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_NODE_SETTINGS_H_
