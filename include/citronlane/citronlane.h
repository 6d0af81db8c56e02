#ifndef CITRONLANE_CITRONLANE_H_
#define CITRONLANE_CITRONLANE_H_

/// Includes the public API for programs that embed the system: the gateway and
/// control processes with their settings, the configuration, and the decision
/// code. Not needed to run the `citronlane` program.

#include "citronlane/admission/admission_controller.h"
#include "citronlane/base/error.h"
#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/base/verdict.h"
#include "citronlane/cli/run.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/consensus/raft_node.h"
#include "citronlane/control/control_node.h"
#include "citronlane/control/control_run.h"
#include "citronlane/gateway/gateway.h"
#include "citronlane/gateway/gateway_run.h"
#include "citronlane/json/parse.h"
#include "citronlane/observe/logger.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/routing/pool_router.h"
#include "citronlane/settings/control_settings.h"
#include "citronlane/settings/gateway_settings.h"

#endif  // CITRONLANE_CITRONLANE_H_
