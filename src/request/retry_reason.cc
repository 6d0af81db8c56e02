#include "citronlane/request/retry_reason.h"

#include "citronlane/request/call_mode.h"
#include "citronlane/routing/call_outcome.h"

namespace citronlane {
namespace {

RetryReason ReasonOf(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kConnectFailed:
      return RetryReason::kConnectFailed;
    case CallOutcome::kRejected:
      return RetryReason::kRejected;
    case CallOutcome::kClosedAfterSend:
      return RetryReason::kClosedAfterSend;
    case CallOutcome::kTimeout:
      return RetryReason::kTimeout;
    case CallOutcome::kWrongId:
      return RetryReason::kWrongId;
    case CallOutcome::kSuccess:
    case CallOutcome::kServerError:
    case CallOutcome::kCancelled:
      break;
  }
  return RetryReason::kServerError;
}

}  // namespace

std::string_view ToString(RetryReason reason) {
  switch (reason) {
    case RetryReason::kConnectFailed:
      return "connect_failed";
    case RetryReason::kRejected:
      return "rejected";
    case RetryReason::kServerError:
      return "server_error";
    case RetryReason::kClosedAfterSend:
      return "closed_after_send";
    case RetryReason::kTimeout:
      return "timeout";
    case RetryReason::kWrongId:
      return "wrong_id";
    case RetryReason::kStreamResumed:
      return "stream_resumed";
    case RetryReason::kStreamContinued:
      return "stream_continued";
  }
  return "server_error";
}

RetryReason ReasonOf(CallMode mode, CallOutcome outcome) {
  switch (mode) {
    case CallMode::kResume:
      return RetryReason::kStreamResumed;
    case CallMode::kContinue:
      return RetryReason::kStreamContinued;
    case CallMode::kFresh:
      break;
  }
  return ReasonOf(outcome);
}

}  // namespace citronlane
