#include "citronlane/app/control_run.h"

#include <pthread.h>

#include <csignal>
#include <utility>

#include "citronlane/app/control_node.h"

namespace citronlane {

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
  int signal = 0;
  sigwait(&signals, &signal);
  node.Stop();
  return true;
}

}  // namespace citronlane
