#include "citronlane/routing/call_outcome.h"

namespace citronlane {

std::string_view ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kSuccess:
      return "success";
    case CallOutcome::kConnectFailed:
      return "connect_failed";
    case CallOutcome::kRejected:
      return "rejected";
    case CallOutcome::kServerError:
      return "server_error";
    case CallOutcome::kClosedAfterSend:
      return "closed_after_send";
    case CallOutcome::kTimeout:
      return "timeout";
    case CallOutcome::kCancelled:
      return "cancelled";
    case CallOutcome::kWrongId:
      return "wrong_id";
  }
  return "server_error";
}

}  // namespace citronlane
