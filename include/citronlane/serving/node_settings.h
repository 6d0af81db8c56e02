#ifndef CITRONLANE_SERVING_NODE_SETTINGS_H_
#define CITRONLANE_SERVING_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a process of a self-forming fleet is told of its VM and of the bounds
/// it has to keep. The file may change while the process runs.
struct NodeSettings {
  std::string name_;
  std::string ip_;
  std::string failure_domain_;
  /// "IP:port" each; empty when this VM does not serve it.
  std::string caller_listen_;
  std::string ready_listen_;
  std::string operator_listen_;
  std::string internal_listen_;
  std::string metrics_listen_;
  /// Internal endpoints of some control VMs.
  std::vector<std::string> seeds_;
  /// The whole system starts for the first time, with empty disks.
  bool first_start_ = false;
  std::string data_dir_;
  /// Control VMs whose disks may be lost at the same time.
  uint32_t tolerated_losses_ = 1;
  uint32_t memory_mb_ = 256;
  uint32_t max_descriptors_ = 1024;

  /// The platform's list of backend servers, and the calls it takes a second
  /// from all nodes together.
  std::string server_list_address_;
  double server_list_rate_ = 10;

  /// A leaving server gets no new work later than this.
  Duration leaving_bound_ = std::chrono::seconds(3);
  /// From the stop signal to the kill.
  Duration grace_ = std::chrono::seconds(8);
  /// Repeats of requests allowed in each window, over all gateways.
  double repeat_ratio_ = 0.1;
  double repeat_extra_ = 0;
  Duration repeat_window_ = std::chrono::seconds(10);
  /// Reading a shared part of a prompt again this soon after its last use has
  /// its price.
  Duration prompt_reuse_window_ = std::chrono::seconds(10);
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_NODE_SETTINGS_H_
