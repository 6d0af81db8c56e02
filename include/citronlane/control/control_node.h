#ifndef CITRONLANE_CONTROL_CONTROL_NODE_H_
#define CITRONLANE_CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/control/control_node_hooks.h"
#include "citronlane/control/control_options.h"
#include "citronlane/control/replica_status.h"

namespace citronlane {

/// One control VM of a cluster with configured peers: a Replica, the replicated
/// state machine, the service for gateways and the administration API. It
/// serves no requests of clients. Thread safe, except that Start and Stop are
/// called by one thread.
class ControlNode {
 public:
  ControlNode(ControlOptions options, ControlNodeHooks hooks);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  /// Reads the disk, binds the addresses and starts the threads. Returns false
  /// and sets `error` when the disk can not be trusted or an address is taken.
  bool Start(Error* error);

  /// Transfers the leadership, completes the pending calls and ends the
  /// threads. May be called twice.
  void Stop();

  /// Version and SHA-256 digest of the configuration applied here.
  uint64_t config_version() const;
  std::string config_digest() const;
  ReplicaStatus replica_status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_NODE_H_
