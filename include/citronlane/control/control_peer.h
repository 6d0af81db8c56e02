#ifndef CITRONLANE_CONTROL_CONTROL_PEER_H_
#define CITRONLANE_CONTROL_CONTROL_PEER_H_

#include <string>

namespace citronlane {

/// Addresses of one control VM, each as "IP:port".
struct ControlPeer {
  /// Replication service, for the other control VMs.
  std::string replication_;
  /// Control service, for gateways.
  std::string control_;
  /// Administration API, for operators.
  std::string admin_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_PEER_H_
