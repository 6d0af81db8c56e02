#include "citronlane/relay/relay_responses.h"

#include <string>

#include "absl/strings/str_format.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"
#include "citronlane/relay/forwarded_headers.h"

namespace citronlane {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstNonSuccess = 300;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

// Seconds after which a refused caller should retry.
const char* RetryAfter(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      // Control VMs that all restart have elected a leader by about this time.
      return "1.4";
    case RefusalReason::kServerLimits:
    case RefusalReason::kDeadlineUnreachable:
      // By then the pools have served part of a burst, and servers with a limit
      // take requests again.
      return "1";
    case RefusalReason::kShuttingDown:
      // Other gateways take the request now.
      return "0";
    case RefusalReason::kCrashesServers:
      // The block lasts minutes; sooner the same request is refused again.
      return "60";
    default:
      // By then another server is found, or a failed one excluded.
      return "0.4";
  }
}

// Rounded up, so that nobody comes back too early.
std::string SecondsText(Duration time) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(time).count();
  return absl::StrFormat("%d.%03d", milliseconds / 1000, milliseconds % 1000);
}

}  // namespace

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstNonSuccess;
}

bool PromisesNotRun(int status) {
  return status == kTooManyRequests || status == kUnavailable;
}

HttpReply ResponseOf(int status, absl::Span<const HttpHeader> headers) {
  HttpReply reply;
  reply.status_ = status;
  reply.content_type_.clear();
  reply.headers_ = ForwardedHeaders(headers);
  return reply;
}

HttpReply RefusalReply(RefusalReason reason,
                       Verdict verdict,
                       std::optional<Duration> retry_after) {
  HttpReply reply;
  reply.status_ = HttpStatus(reason);
  if (PromisesNotRun(reply.status_) && verdict != Verdict::kNotRun) {
    reply.status_ = kBadGateway;
  }
  if (PromisesNotRun(reply.status_)) {
    reply.headers_.push_back({"Retry-After", retry_after
                                                 ? SecondsText(*retry_after)
                                                 : RetryAfter(reason)});
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
