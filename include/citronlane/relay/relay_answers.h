#ifndef CITRONLANE_RELAY_RELAY_ANSWERS_H_
#define CITRONLANE_RELAY_RELAY_ANSWERS_H_

#include "absl/types/span.h"
#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/verdict.h"
#include "citronlane/transport/http_header.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

/// A backend server's answer as the caller gets it, without its body. Thread
/// safe, as is the other.
HttpReply AnswerOf(int status, absl::Span<const HttpHeader> headers);

/// The gateway's own answer to a request that it does not serve. A status that
/// promises that nothing has run is given only with that verdict; it says when
/// to come back.
HttpReply RefusalReply(RefusalReason reason, Verdict verdict);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_ANSWERS_H_
