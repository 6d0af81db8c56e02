#include "citronlane/control/control_run.h"

#include <chrono>
#include <utility>

#include "citronlane/control/control_node.h"
#include "citronlane/process/stop_signals.h"

namespace citronlane {
namespace {

// How soon a node whose replica gave up ends, so that everybody sees it.
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
