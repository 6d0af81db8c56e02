#include "citronlane/app/control_run.h"

#include <pthread.h>

#include <csignal>
#include <ctime>
#include <utility>

#include "citronlane/app/control_node.h"

namespace citronlane {
namespace {

// How soon a node whose replica gave up ends, so that everybody sees it.
constexpr timespec kReplicaCheckInterval{0, 200'000'000};

}  // namespace

bool RunControl(const ControlOptions& options,
                ControlNodeHooks hooks,
                Error* error) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  ControlNode node(options, std::move(hooks));
  if (!node.Start(error)) {
    return false;
  }
  while (sigtimedwait(&signals, nullptr, &kReplicaCheckInterval) < 0) {
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
