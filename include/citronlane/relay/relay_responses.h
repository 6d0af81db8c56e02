#ifndef CITRONLANE_RELAY_RELAY_RESPONSES_H_
#define CITRONLANE_RELAY_RELAY_RESPONSES_H_

#include <optional>

#include "absl/types/span.h"
#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/base/verdict.h"
#include "citronlane/transport/http_header.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

/// The response to the caller for a backend server's reply, without its body.
/// Thread safe.
HttpReply ResponseOf(int status, absl::Span<const HttpHeader> headers);

/// Whether a reply with this status is a success. Thread safe.
bool IsSuccess(int status);

/// Whether a reply with this status promises that nothing of the request has
/// run. Thread safe.
bool PromisesNotRun(int status);

/// The gateway's own response to a request that it does not serve. A status
/// that promises that nothing has run is used only with Verdict::kNotRun and
/// then comes with a Retry-After header, for `retry_after` if it is known;
/// other verdicts get another status instead. Thread safe.
HttpReply RefusalReply(RefusalReason reason,
                       Verdict verdict,
                       std::optional<Duration> retry_after = std::nullopt);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_RESPONSES_H_
