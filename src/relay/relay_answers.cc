#include "citronlane/relay/relay_answers.h"

#include <string>

#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"
#include "citronlane/relay/forwarded_headers.h"

namespace citronlane {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

// Seconds until a refused caller should come back.
const char* RetryAfter(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      // Control VMs that all restart have a leader after about this time.
      return "1.4";
    case RefusalReason::kDeadlineUnreachable:
      // A part of a burst is over by then.
      return "1";
    default:
      // Another server is found, or one that failed is passed over.
      return "0.4";
  }
}

bool PromisesNotRun(int status) {
  return status == kTooManyRequests || status == kUnavailable;
}

}  // namespace

HttpReply AnswerOf(int status, absl::Span<const HttpHeader> headers) {
  HttpReply reply;
  reply.status_ = status;
  reply.content_type_.clear();
  reply.headers_ = ForwardedHeaders(headers);
  return reply;
}

HttpReply RefusalReply(RefusalReason reason, Verdict verdict) {
  HttpReply reply;
  reply.status_ = HttpStatus(reason);
  if (PromisesNotRun(reply.status_) && verdict != Verdict::kNotRun) {
    reply.status_ = kBadGateway;
  }
  if (PromisesNotRun(reply.status_)) {
    reply.headers_.push_back({"Retry-After", RetryAfter(reason)});
  }
  JsonValue body = JsonValue::Object();
  body.AppendMember("reason", JsonValue::String(ToString(reason)));
  body.AppendMember("number", JsonValue::Number(static_cast<int>(reason)));
  body.AppendMember("message", JsonValue::String(Describe(reason)));
  body.AppendMember("verdict", JsonValue::String(ToString(verdict)));
  reply.body_ = WriteJson(body);
  return reply;
}

}  // namespace citronlane
