#include "citronlane/gateway/refusal_writer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "citronlane/gateway/receipt.h"
#include "citronlane/json/parse.h"
#include "citronlane/process/detail/json_figures.h"
#include "citronlane/process/detail/unix_time.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;

/// For transient reasons that specify no retry time.
constexpr milliseconds kDefaultRetryAfter{500};
constexpr int64_t kMillisecondsPerSecond = 1000;

/// Whether the same request may succeed later without any change.
bool IsTransient(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTooManyConnections:
    case RefusalReason::kBodyMemoryExhausted:
    case RefusalReason::kDeadlineUnreachable:
    case RefusalReason::kConcurrencyLimit:
    case RefusalReason::kFairShare:
    case RefusalReason::kSpendLimit:
    case RefusalReason::kBatchYields:
    case RefusalReason::kNoBackendServer:
    case RefusalReason::kRetryBudgetExhausted:
    case RefusalReason::kConfigurationLeaseLapsed:
    case RefusalReason::kControlUnreachable:
    case RefusalReason::kNoConfiguration:
    case RefusalReason::kIdempotentRequestRunning:
    case RefusalReason::kShuttingDown:
      return true;
    default:
      return false;
  }
}

JsonValue MakeProblem(const RefusalEntry& entry,
                      std::string_view detail,
                      int64_t retry_after_ms,
                      std::string_view signature) {
  const std::string name(ToString(entry.reason_));
  JsonValue body = JsonValue::Object();
  const auto text = [&body](const char* key, std::string_view value) {
    body.AppendMember(key, JsonValue::String(value));
  };
  const auto number = [&body](const char* key, double value) {
    body.AppendMember(key, JsonValue::Number(value));
  };
  text("type", "urn:citronlane:refusal:" + name);
  text("title", Describe(entry.reason_));
  number("status", HttpStatus(entry.reason_));
  if (!detail.empty()) {
    text("detail", detail);
  }
  number("reason", static_cast<int>(entry.reason_));
  text("reason_name", name);
  text("verdict", ToString(entry.verdict_));
  text("refusal_id", entry.id_);
  text("account", entry.account_);
  text("class", entry.class_name_);
  text("target", entry.target_);
  text("gateway", entry.gateway_);
  number("config_version", static_cast<double>(entry.config_version_));
  number("time_ms", static_cast<double>(entry.time_ms_));
  body.AppendMember("figures", detail::FiguresToJson(entry.figures_));
  if (retry_after_ms > 0) {
    number("retry_after_ms", static_cast<double>(retry_after_ms));
  }
  text("receipt", signature);
  return body;
}

}  // namespace

RefusalWriter::RefusalWriter(std::string identity,
                             std::string receipt_key,
                             EntryHook sink)
    : identity_(std::move(identity)),
      receipt_key_(std::move(receipt_key)),
      sink_(std::move(sink)),
      random_(std::random_device()()) {}

HttpReply RefusalWriter::Write(const RefusalContext& context,
                               const Refusal& refusal,
                               Verdict verdict,
                               std::string_view detail) {
  const RefusalEntry entry = MakeEntry(context, refusal, verdict);
  sink_(entry, context.admitted_);
  const int64_t retry_after_ms =
      std::chrono::duration_cast<milliseconds>(JitterRetryAfter(refusal))
          .count();
  HttpReply reply;
  reply.status_ = HttpStatus(refusal.reason_);
  reply.content_type_ = "application/problem+json";
  reply.headers_ = {
      {"X-Refusal-Id", entry.id_},
      {"X-Verdict", std::string(ToString(verdict))},
      {"X-Config-Version", std::to_string(entry.config_version_)}};
  if (!context.request_id_.empty()) {
    reply.headers_.push_back({"X-Request-Id", context.request_id_});
  }
  if (retry_after_ms > 0) {
    const int64_t seconds =
        (retry_after_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    reply.headers_.push_back({"Retry-After", std::to_string(seconds)});
  }
  reply.body_ = WriteJson(MakeProblem(entry, detail, retry_after_ms,
                                      SignReceipt(entry, receipt_key_)));
  return reply;
}

RefusalEntry RefusalWriter::MakeEntry(const RefusalContext& context,
                                      const Refusal& refusal,
                                      Verdict verdict) {
  RefusalEntry entry;
  entry.id_ = identity_ + "-r" + std::to_string(next_++);
  entry.reason_ = refusal.reason_;
  entry.verdict_ = verdict;
  entry.account_ = context.account_;
  entry.class_name_ = context.class_name_;
  entry.target_ = context.target_;
  entry.gateway_ = identity_;
  entry.config_version_ = context.config_version_;
  entry.time_ms_ = detail::UnixMilliseconds();
  entry.figures_ = refusal.figures_;
  return entry;
}

Duration RefusalWriter::JitterRetryAfter(const Refusal& refusal) {
  Duration base = refusal.retry_after_;
  if (base <= Duration(0)) {
    if (!IsTransient(refusal.reason_)) {
      return Duration(0);
    }
    base = kDefaultRetryAfter;
  }
  // Up to the same time is added at random, so that callers that were refused
  // together don't retry together.
  const std::lock_guard lock(mutex_);
  std::uniform_int_distribution<int64_t> extra(0, base.count());
  return base + Duration(extra(random_));
}

}  // namespace citronlane
