#ifndef CITRONLANE_CONTROL_CONTROL_PEER_H_
#define CITRONLANE_CONTROL_CONTROL_PEER_H_

#include <string>

namespace citronlane {

/// Where the other processes reach one control VM, each as "IP:port".
struct ControlPeer {
  /// Between control VMs.
  std::string replication_;
  /// For gateways.
  std::string control_;
  /// For operators.
  std::string admin_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_PEER_H_
