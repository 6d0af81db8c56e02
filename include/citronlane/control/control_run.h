#ifndef CITRONLANE_CONTROL_CONTROL_RUN_H_
#define CITRONLANE_CONTROL_CONTROL_RUN_H_

#include "citronlane/base/error.h"
#include "citronlane/control/control_node_hooks.h"
#include "citronlane/control/control_options.h"

namespace citronlane {

/// Runs a control process until SIGTERM or SIGINT. Returns false and sets
/// `error` when it can not start, or when its replica fails: its disk failed,
/// or the membership records another disk for this node's id. Call once, from
/// the main thread, before other threads are started: it blocks both signals.
bool RunControl(const ControlOptions& options,
                ControlNodeHooks hooks,
                Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_RUN_H_
