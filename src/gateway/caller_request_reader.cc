#include "citronlane/gateway/caller_request_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/config_view.h"
#include "citronlane/json/parse.h"
#include "citronlane/routing/call_priority.h"
#include "citronlane/transport/detail/header_name.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

constexpr std::string_view kPipelinePrefix = "/v1/pipelines/";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr size_t kMaxIdempotencyKeyBytes = 128;
constexpr double kMaxTokensAllowed = 1'000'000;

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

bool IsValidIdempotencyKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxIdempotencyKeyBytes &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

CallerRequestReader::CallerRequestReader(const HttpRequest& request,
                                         const ConfigView& view)
    : http_(request), view_(view) {
  result_.config_ = view.config();
}

std::optional<CallerRequest> CallerRequestReader::Read() {
  if (!CheckHeaders() || !ReadAccount() || !ReadRoute() || !ReadClass() ||
      !ReadIdempotency()) {
    return std::nullopt;
  }
  return std::move(result_);
}

bool CallerRequestReader::Fail(RefusalReason reason, std::string detail) {
  reason_ = reason;
  detail_ = std::move(detail);
  return false;
}

bool CallerRequestReader::CheckHeaders() {
  for (const char* name :
       {"Host", "Authorization", "X-Class", "Idempotency-Key",
        "X-Non-Idempotent", "Content-Type", "Content-Length"}) {
    if (http_.CountHeader(name) > 1) {
      return Fail(RefusalReason::kMalformedRequest,
                  std::string("the header ") + name + " stands twice");
    }
  }
  return true;
}

bool CallerRequestReader::ReadAccount() {
  const std::string_view header = http_.Header("Authorization");
  if (!detail::SameHeaderName(header.substr(0, kBearer.size()), kBearer)) {
    return Fail(RefusalReason::kUnknownAccount,
                "the header Authorization holds no bearer key");
  }
  result_.account_ = view_.FindAccount(header.substr(kBearer.size()));
  if (result_.account_ == nullptr) {
    return Fail(RefusalReason::kUnknownAccount, "");
  }
  account_ = result_.account_->name_;
  return true;
}

bool CallerRequestReader::ReadRoute() {
  const std::string_view path = http_.Path();
  if (StartsWith(path, kServicePrefix)) {
    return ReadServicePath(path.substr(kServicePrefix.size()));
  }
  const bool chat = path == kChatPath;
  const bool pipeline = StartsWith(path, kPipelinePrefix);
  if (!chat && !pipeline) {
    return Fail(RefusalReason::kUnknownRoute, "");
  }
  if (http_.method_ != "POST") {
    return Fail(RefusalReason::kUnknownRoute, "the method must be POST");
  }
  if (chat) {
    result_.kind_ = CallerRequest::Kind::kChat;
    return ReadChatBody();
  }
  return ReadPipelinePath(path.substr(kPipelinePrefix.size()));
}

bool CallerRequestReader::ReadPipelinePath(std::string_view name) {
  result_.kind_ = CallerRequest::Kind::kPipeline;
  return SelectPipeline(std::string(name)) && ReadPipelineBody();
}

bool CallerRequestReader::SelectPipeline(const std::string& name) {
  const auto& pipelines = result_.config_->pipelines_;
  const auto found = pipelines.find(name);
  if (found == pipelines.end()) {
    return Fail(RefusalReason::kUnknownPipeline, "");
  }
  const PipelineConfig& pipeline = found->second;
  target_ = pipeline.name_;
  result_.target_ = pipeline.name_;
  result_.stages_ = pipeline.stages_;
  result_.deadline_ = pipeline.deadline_;
  result_.non_idempotent_ = pipeline.non_idempotent_;
  return true;
}

bool CallerRequestReader::ReadServicePath(std::string_view rest) {
  const size_t slash = rest.find('/');
  const std::string name(rest.substr(0, slash));
  const auto found = result_.config_->services_.find(name);
  if (found == result_.config_->services_.end()) {
    return Fail(RefusalReason::kUnknownRoute, "no service has this name");
  }
  const ServiceConfig& service = found->second;
  const size_t prefix = kServicePrefix.size() + name.size();
  std::string target = http_.target_.substr(prefix);
  if (target.empty() || target.front() != '/') {
    target.insert(0, "/");
  }
  target_ = service.name_;
  result_.kind_ = CallerRequest::Kind::kService;
  result_.target_ = service.name_;
  result_.service_target_ = std::move(target);
  result_.deadline_ = service.deadline_;
  const std::string_view path = result_.service_target_;
  SelectServiceRoute(service, path.substr(0, path.find('?')));
  return true;
}

void CallerRequestReader::SelectServiceRoute(const ServiceConfig& service,
                                             std::string_view path) {
  StageConfig stage;
  stage.name_ = service.name_;
  stage.pool_ = service.pool_;
  const auto route =
      std::find_if(service.routes_.begin(), service.routes_.end(),
                   [this, path](const ServiceRouteConfig& candidate) {
                     return candidate.method_ == http_.method_ &&
                            StartsWith(path, candidate.prefix_);
                   });
  if (route != service.routes_.end()) {
    stage.non_idempotent_ = route->non_idempotent_;
    result_.non_idempotent_ = route->non_idempotent_;
  } else {
    // Methods other than GET and HEAD are never repeated on an undeclared
    // route, but don't require an Idempotency-Key.
    stage.non_idempotent_ = http_.method_ != "GET" && http_.method_ != "HEAD";
  }
  result_.stages_ = {std::move(stage)};
}

bool CallerRequestReader::ReadChatBody() {
  Fault fault;
  const std::optional<JsonValue> body = ParseJson(http_.body_, &fault);
  if (!body || !body->IsObject()) {
    return Fail(RefusalReason::kMalformedRequest,
                "the body must be a JSON object");
  }
  const JsonValue* model = body->Find("model");
  const JsonValue* messages = body->Find("messages");
  if (model == nullptr || !model->IsString()) {
    return Fail(RefusalReason::kMalformedRequest, "model must be a text");
  }
  if (messages == nullptr || !messages->IsArray() ||
      messages->items().empty()) {
    return Fail(RefusalReason::kMalformedRequest,
                "messages must be an array with one message at least");
  }
  return SelectPipeline(model->AsString()) && ReadMessages(*messages) &&
         ReadOptions(*body);
}

bool CallerRequestReader::ReadMessages(const JsonValue& messages) {
  std::string conversation;
  for (const JsonValue& message : messages.items()) {
    const JsonValue* role = message.Find("role");
    const JsonValue* content = message.Find("content");
    if (role == nullptr || !role->IsString() || content == nullptr ||
        !content->IsString()) {
      return Fail(RefusalReason::kMalformedRequest,
                  "each message needs role and content, both texts");
    }
    if (role->AsString() == "user") {
      result_.input_.query_ = content->AsString();
    }
    conversation.append(role->AsString()).append(": ");
    conversation.append(content->AsString()).append("\n");
  }
  if (result_.input_.query_.empty()) {
    return Fail(RefusalReason::kMalformedRequest,
                "messages hold no text of the user");
  }
  const bool single = messages.items().size() == 1;
  result_.input_.prompt_ =
      single ? result_.input_.query_ : std::move(conversation);
  return true;
}

bool CallerRequestReader::ReadPipelineBody() {
  Fault fault;
  const std::optional<JsonValue> body = ParseJson(http_.body_, &fault);
  if (!body || !body->IsObject()) {
    return Fail(RefusalReason::kMalformedRequest,
                "the body must be a JSON object");
  }
  const JsonValue* input = body->Find("input");
  if (input == nullptr || !input->IsString() || input->AsString().empty()) {
    return Fail(RefusalReason::kMalformedRequest,
                "input must be a text that is not empty");
  }
  result_.input_.query_ = input->AsString();
  result_.input_.prompt_ = input->AsString();
  return ReadOptions(*body);
}

bool CallerRequestReader::ReadOptions(const JsonValue& body) {
  const JsonValue* stream = body.Find("stream");
  if (stream != nullptr && !stream->IsBool()) {
    return Fail(RefusalReason::kMalformedRequest,
                "stream must be true or false");
  }
  result_.stream_ = stream != nullptr && stream->AsBool();
  const JsonValue* tokens = body.Find("max_tokens");
  if (tokens == nullptr) {
    return true;
  }
  if (!tokens->IsNumber() || tokens->AsNumber() < 1 ||
      tokens->AsNumber() > kMaxTokensAllowed ||
      tokens->AsNumber() != std::floor(tokens->AsNumber())) {
    return Fail(RefusalReason::kMalformedRequest,
                "max_tokens must be a whole number from 1 to 1000000");
  }
  result_.input_.max_tokens_ = static_cast<uint32_t>(tokens->AsNumber());
  return true;
}

bool CallerRequestReader::ReadClass() {
  const AccountConfig& account = *result_.account_;
  const std::string_view header = http_.Header("X-Class");
  const std::string name =
      header.empty() ? account.default_class_ : std::string(header);
  const auto found = result_.config_->classes_.find(name);
  if (found == result_.config_->classes_.end()) {
    return Fail(RefusalReason::kUnknownClass, "");
  }
  class_name_ = name;
  const bool allowed =
      account.classes_.empty() ||
      std::find(account.classes_.begin(), account.classes_.end(), name) !=
          account.classes_.end();
  if (!allowed) {
    return Fail(RefusalReason::kClassNotAllowed, "");
  }
  result_.class_ = &found->second;
  result_.input_.batch_ = found->second.batch_;
  result_.input_.priority_ = CallPriority(found->second);
  return true;
}

bool CallerRequestReader::ReadIdempotency() {
  const std::string_view mark = http_.Header("X-Non-Idempotent");
  if (!mark.empty() && mark != "1" && mark != "0") {
    return Fail(RefusalReason::kMalformedRequest,
                "X-Non-Idempotent must be 0 or 1");
  }
  result_.non_idempotent_ = result_.non_idempotent_ || mark == "1";
  result_.idempotency_key_ = std::string(http_.Header("Idempotency-Key"));
  if (result_.idempotency_key_.empty() && !result_.non_idempotent_) {
    return true;
  }
  if (result_.idempotency_key_.empty()) {
    return Fail(RefusalReason::kMissingIdempotencyKey, "");
  }
  if (!IsValidIdempotencyKey(result_.idempotency_key_)) {
    return Fail(RefusalReason::kMalformedRequest,
                "Idempotency-Key must be 1 to 128 visible ASCII characters");
  }
  const bool any_marked = std::any_of(
      result_.stages_.begin(), result_.stages_.end(),
      [](const StageConfig& stage) { return stage.non_idempotent_; });
  if (result_.non_idempotent_ && !any_marked) {
    for (StageConfig& stage : result_.stages_) {
      stage.non_idempotent_ = true;
    }
  }
  return true;
}

}  // namespace citronlane
