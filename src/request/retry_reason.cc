#include "citronlane/request/retry_reason.h"

namespace citronlane {

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

}  // namespace citronlane
