#include "citronlane/control/control_run.h"

#include <chrono>
#include <utility>

#include "citronlane/control/control_node.h"
#include "citronlane/process/stop_signals.h"

namespace citronlane {
namespace {

// How often the replica is checked for a failure, which ends the process.
constexpr std::chrono::milliseconds kReplicaCheckInterval{200};

}  // namespace

bool RunControl(const ControlOptions& options,
                ControlNodeHooks hooks,
                Error* error) {
  const StopSignals signals;
  ControlNode node(options, std::move(hooks));
  if (!node.Start(error)) {
    return false;
  }
  while (!signals.WaitFor(kReplicaCheckInterval)) {
    const ReplicaStatus status = node.replica_status();
    if (status.failed_) {
      node.Stop();
      error->message_ = status.failure_;
      return false;
    }
  }
  node.Stop();
  return true;
}

}  // namespace citronlane
