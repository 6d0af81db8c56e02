#include "citronlane/gateway/caller_service.h"

#include <optional>
#include <utility>

#include "citronlane/admission/refusal.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/caller_handler.h"
#include "citronlane/gateway/caller_request_reader.h"
#include "citronlane/gateway/config_view.h"
#include "citronlane/gateway/gateway_state.h"
#include "citronlane/gateway/refusal_writer.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

HttpReply TextReply(int status, std::string text) {
  HttpReply reply;
  reply.status_ = status;
  reply.content_type_ = Metrics::kContentType;
  reply.body_ = std::move(text);
  return reply;
}

}  // namespace

CallerService::CallerService(CallerServiceParts parts)
    : parts_(std::move(parts)) {}

void CallerService::Serve(size_t shard,
                          const HttpRequest& request,
                          HttpExchange* exchange) {
  if (!ServeHealth(request, exchange)) {
    ServeWork(shard, request, exchange);
  }
}

HttpReply CallerService::RefuseUnread(RefusalReason reason) {
  RefusalContext context;
  context.config_version_ = parts_.state_->config_version();
  Refusal refusal;
  refusal.reason_ = reason;
  return parts_.refusals_->Write(context, refusal, Verdict::kNotRun, "");
}

bool CallerService::ServeHealth(const HttpRequest& request,
                                HttpExchange* exchange) {
  if (request.method_ != "GET" && request.method_ != "HEAD") {
    return false;
  }
  const std::string_view path = request.Path();
  if (path == "/healthz") {
    exchange->Reply(TextReply(kStatusOk, "ok\n"));
    return true;
  }
  if (path == "/readyz") {
    const bool ready = parts_.state_->Ready(SteadyNow());
    exchange->Reply(ready ? TextReply(kStatusOk, "ready\n")
                          : TextReply(kStatusUnavailable, "not ready\n"));
    return true;
  }
  if (path == "/metrics") {
    const auto& text = parts_.hooks_->metrics_text_;
    exchange->Reply(TextReply(kStatusOk, text ? text() : ""));
    return true;
  }
  return false;
}

void CallerService::ServeWork(size_t shard,
                              const HttpRequest& request,
                              HttpExchange* exchange) {
  RefusalContext context;
  context.request_id_ = NextRequestId();
  Refusal refusal;
  const auto refuse = [&](RefusalReason reason, std::string_view detail) {
    refusal.reason_ = reason;
    exchange->Reply(
        parts_.refusals_->Write(context, refusal, Verdict::kNotRun, detail));
  };
  const std::shared_ptr<const ConfigView> view = parts_.state_->config();
  context.config_version_ = view ? view->config()->version_ : 0;
  if (const auto reason = parts_.state_->Refuses(SteadyNow())) {
    refuse(*reason, "");
    return;
  }
  CallerRequestReader reader(request, *view);
  std::optional<CallerRequest> caller_request = reader.Read();
  context.account_ = reader.account();
  context.class_name_ = reader.class_name();
  context.target_ = reader.target();
  if (!caller_request) {
    refuse(reader.reason(), reader.detail());
    return;
  }
  CallerHandler handler(parts_, *parts_.contexts_[shard], request,
                        *std::move(caller_request), std::move(context),
                        exchange);
  handler.Run();
}

std::string CallerService::NextRequestId() {
  return parts_.identity_ + "-" + std::to_string(next_request_++);
}

}  // namespace citronlane
