#ifndef CITRONLANE_BASE_REFUSAL_REASON_H_
#define CITRONLANE_BASE_REFUSAL_REASON_H_

#include <string_view>

namespace citronlane {

/// Reasons for refusing or failing a request. The numbers are part of the API
/// and never reused. docs/REFUSALS.md lists each with its figures.
enum class RefusalReason {
  // 1xx: the request itself.
  kMalformedRequest = 101,
  kUnknownPipeline = 102,
  kUnknownClass = 103,
  kBodyTooLarge = 104,
  kHeaderTooLarge = 105,
  kReadTimeout = 106,
  kMissingIdempotencyKey = 107,
  kUnknownRoute = 108,
  kTooManyConnections = 109,
  kBodyMemoryExhausted = 110,
  kTooManyPieces = 111,
  // 2xx: the client account.
  kUnknownAccount = 201,
  kClassNotAllowed = 202,
  // 3xx: admission.
  kDeadlineUnreachable = 301,
  kConcurrencyLimit = 302,
  kFairShare = 303,
  kSpendLimit = 304,
  kBatchYields = 305,
  // 4xx: while the request was being served.
  kDeadlineExceeded = 401,
  kStageFailed = 402,
  kNoBackendServer = 403,
  kStreamBroken = 404,
  kRetryBudgetExhausted = 405,
  kCallerGone = 406,
  kCrashesServers = 407,
  kServerLimits = 408,
  kStreamVersionGone = 409,
  kStreamVersionUnknown = 410,
  kServersInBackoff = 411,
  // 5xx: control state.
  kConfigurationLeaseLapsed = 501,
  kControlUnreachable = 502,
  kNoConfiguration = 503,
  // 6xx: idempotency.
  kIdempotencyKeyReused = 601,
  kIdempotentRequestRunning = 602,
  kIdempotentOwnerLost = 603,
  kStoredAnswerTooLarge = 604,
  // 7xx: the gateway.
  kShuttingDown = 701,
  kInternal = 702,
};

/// Returns the stable snake_case name, e.g. "deadline_unreachable". Thread
/// safe.
std::string_view ToString(RefusalReason reason);

/// Returns a sentence that explains the reason to the caller. Thread safe.
std::string_view Describe(RefusalReason reason);

/// Returns the HTTP status of a response with that reason. Thread safe.
int HttpStatus(RefusalReason reason);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_REFUSAL_REASON_H_
