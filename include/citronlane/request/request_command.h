#ifndef CITRONLANE_REQUEST_REQUEST_COMMAND_H_
#define CITRONLANE_REQUEST_REQUEST_COMMAND_H_

#include <variant>

#include "citronlane/request/arm_hedge.h"
#include "citronlane/request/cancel_call.h"
#include "citronlane/request/emit_text.h"
#include "citronlane/request/finish_request.h"
#include "citronlane/request/start_call.h"

namespace citronlane {

/// An action that a Request requests from its driver, to be executed in order.
using RequestCommand =
    std::variant<StartCall, CancelCall, ArmHedge, EmitText, FinishRequest>;

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_COMMAND_H_
