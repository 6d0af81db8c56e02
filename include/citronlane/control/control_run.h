#ifndef CITRONLANE_CONTROL_CONTROL_RUN_H_
#define CITRONLANE_CONTROL_CONTROL_RUN_H_

#include "citronlane/base/error.h"
#include "citronlane/control/control_node_hooks.h"
#include "citronlane/control/control_options.h"

namespace citronlane {

/// Runs a control process until SIGTERM or SIGINT. Returns false and a reason
/// when it can't start, or when its replica gives up: the disk failed, or the
/// cluster knows this node with another disk. Call once, from the main thread,
/// before other threads are started: it blocks both signals.
bool RunControl(const ControlOptions& options,
                ControlNodeHooks hooks,
                Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_RUN_H_
