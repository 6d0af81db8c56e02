#include "citronlane/base/refusal_reason.h"

#include <array>

namespace citronlane {
namespace {

struct ReasonRow {
  RefusalReason reason_;
  std::string_view name_;
  int http_status_;
  std::string_view sentence_;
};

constexpr std::array<ReasonRow, 38> kReasons = {{
    {RefusalReason::kMalformedRequest, "malformed_request", 400,
     "The request can not be read."},
    {RefusalReason::kUnknownPipeline, "unknown_pipeline", 404,
     "No pipeline has this name."},
    {RefusalReason::kUnknownClass, "unknown_class", 400,
     "No class has this name."},
    {RefusalReason::kBodyTooLarge, "body_too_large", 413,
     "The body is over the limit."},
    {RefusalReason::kHeaderTooLarge, "header_too_large", 431,
     "The header is over the limit."},
    {RefusalReason::kReadTimeout, "read_timeout", 408,
     "The request did not arrive in time."},
    {RefusalReason::kMissingIdempotencyKey, "missing_idempotency_key", 400,
     "A non-idempotent request needs an Idempotency-Key."},
    {RefusalReason::kUnknownRoute, "unknown_route", 404,
     "No route has this path."},
    {RefusalReason::kTooManyConnections, "too_many_connections", 503,
     "The gateway has no free connection."},
    {RefusalReason::kBodyMemoryExhausted, "body_memory_exhausted", 503,
     "The gateway holds as many requests as its memory allows."},
    {RefusalReason::kTooManyPieces, "too_many_pieces", 413,
     "The stages of the request have more pieces than a gateway can hold."},
    {RefusalReason::kUnknownAccount, "unknown_account", 401,
     "The bearer key belongs to no client account."},
    {RefusalReason::kClassNotAllowed, "class_not_allowed", 403,
     "The client account may not use this class."},
    {RefusalReason::kDeadlineUnreachable, "deadline_unreachable", 503,
     "The answer can not be ready before the deadline."},
    {RefusalReason::kConcurrencyLimit, "concurrency_limit", 503,
     "The backend servers are at their concurrency limit."},
    {RefusalReason::kFairShare, "fair_share", 429,
     "The client account is over its fair share."},
    {RefusalReason::kSpendLimit, "spend_limit", 429,
     "The spend limit of the class is reached."},
    {RefusalReason::kBatchYields, "batch_yields", 503,
     "Batch work yields to interactive work."},
    {RefusalReason::kDeadlineExceeded, "deadline_exceeded", 504,
     "The deadline passed."},
    {RefusalReason::kStageFailed, "stage_failed", 502, "A stage failed."},
    {RefusalReason::kNoBackendServer, "no_backend_server", 503,
     "No backend server can take the call."},
    {RefusalReason::kStreamBroken, "stream_broken", 502,
     "The stream broke and could not be continued."},
    {RefusalReason::kRetryBudgetExhausted, "retry_budget_exhausted", 503,
     "A call failed and the retry budget is spent."},
    {RefusalReason::kCallerGone, "caller_gone", 499,
     "The caller closed the connection."},
    {RefusalReason::kCrashesServers, "crashes_servers", 503,
     "Backend servers crashed, one after the other, while they ran this "
     "request."},
    {RefusalReason::kServerLimits, "server_limits", 503,
     "The backend servers have said that they take no more requests now."},
    {RefusalReason::kStreamVersionGone, "stream_version_gone", 503,
     "No backend server of the version that began this stream is left. Begin "
     "it anew."},
    {RefusalReason::kStreamVersionUnknown, "stream_version_unknown", 503,
     "Which version of the backend servers began this stream is not known. "
     "Begin it anew."},
    {RefusalReason::kServersInBackoff, "servers_in_backoff", 503,
     "The backend servers have asked the gateway to send them nothing for a "
     "while."},
    {RefusalReason::kConfigurationLeaseLapsed, "configuration_lease_lapsed",
     503, "The gateway can not confirm its configuration."},
    {RefusalReason::kControlUnreachable, "control_unreachable", 503,
     "No quorum of control VMs can be reached."},
    {RefusalReason::kNoConfiguration, "no_configuration", 503,
     "No configuration is in force yet."},
    {RefusalReason::kIdempotencyKeyReused, "idempotency_key_reused", 422,
     "The Idempotency-Key was used with another body."},
    {RefusalReason::kIdempotentRequestRunning, "idempotent_request_running",
     409, "A request with this Idempotency-Key is still running."},
    {RefusalReason::kIdempotentOwnerLost, "idempotent_owner_lost", 409,
     "The gateway that ran this Idempotency-Key is gone; the request may have "
     "run."},
    {RefusalReason::kStoredAnswerTooLarge, "stored_answer_too_large", 409,
     "The request ran; its answer was too large to be stored."},
    {RefusalReason::kShuttingDown, "shutting_down", 503,
     "The gateway is shutting down."},
    {RefusalReason::kInternal, "internal", 500, "The gateway failed."},
}};

const ReasonRow& RowOf(RefusalReason reason) {
  for (const ReasonRow& row : kReasons) {
    if (row.reason_ == reason) {
      return row;
    }
  }
  return kReasons.back();
}

}  // namespace

std::string_view ToString(RefusalReason reason) {
  return RowOf(reason).name_;
}

std::string_view Describe(RefusalReason reason) {
  return RowOf(reason).sentence_;
}

int HttpStatus(RefusalReason reason) {
  return RowOf(reason).http_status_;
}

}  // namespace citronlane
