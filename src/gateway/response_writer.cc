#include "citronlane/gateway/response_writer.h"

#include <utility>

#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

std::string Event(const JsonValue& value) {
  return "data: " + WriteJson(value) + "\n\n";
}

JsonValue CostsToJson(absl::Span<const StageCost> costs) {
  JsonValue stages = JsonValue::Object();
  for (const StageCost& cost : costs) {
    JsonValue stage = JsonValue::Object();
    stage.AppendMember("cost", JsonValue::Number(cost.cost_));
    stage.AppendMember("calls", JsonValue::Number(cost.calls_));
    if (cost.tokens_ > 0) {
      stage.AppendMember("tokens",
                         JsonValue::Number(static_cast<double>(cost.tokens_)));
    }
    stages.Set(cost.stage_, std::move(stage));
  }
  return stages;
}

JsonValue DocumentsToJson(const StageOutput& output) {
  JsonValue documents = JsonValue::Array();
  if (output.documents_) {
    for (const Document& document : *output.documents_) {
      JsonValue item = JsonValue::Object();
      item.AppendMember("id", JsonValue::String(document.id_));
      item.AppendMember("score", JsonValue::Number(document.score_));
      documents.Append(std::move(item));
    }
  }
  return documents;
}

uint64_t TokensOf(absl::Span<const StageCost> costs) {
  uint64_t tokens = 0;
  for (const StageCost& cost : costs) {
    tokens += cost.tokens_;
  }
  return tokens;
}

JsonValue Choice(std::string_view part,
                 JsonValue content,
                 std::string_view finish_reason) {
  JsonValue choice = JsonValue::Object();
  choice.AppendMember("index", JsonValue::Number(0));
  choice.AppendMember(std::string(part), std::move(content));
  choice.AppendMember("finish_reason", finish_reason.empty()
                                           ? JsonValue()
                                           : JsonValue::String(finish_reason));
  JsonValue choices = JsonValue::Array();
  choices.Append(std::move(choice));
  return choices;
}

}  // namespace

ResponseWriter::ResponseWriter(CallerRequest::Kind kind,
                               std::string request_id,
                               std::string pipeline,
                               uint64_t config_version)
    : kind_(kind),
      request_id_(std::move(request_id)),
      pipeline_(std::move(pipeline)),
      config_version_(config_version) {}

std::vector<HttpHeader> ResponseWriter::Headers() const {
  return {{"X-Request-Id", request_id_},
          {"X-Config-Version", std::to_string(config_version_)}};
}

HttpHeader ResponseWriter::CostHeader(absl::Span<const StageCost> costs) {
  std::string text;
  for (const StageCost& cost : costs) {
    text.append(text.empty() ? "" : ", ").append(cost.stage_).append(";cost=");
    text.append(WriteJson(JsonValue::Number(cost.cost_)));
    text.append(";calls=").append(std::to_string(cost.calls_));
  }
  return {"X-Cost-By-Stage", std::move(text)};
}

JsonValue ResponseWriter::Frame(std::string_view object) const {
  JsonValue frame = JsonValue::Object();
  frame.AppendMember("id", JsonValue::String(request_id_));
  if (kind_ == CallerRequest::Kind::kChat) {
    frame.AppendMember("object", JsonValue::String(object));
    frame.AppendMember("model", JsonValue::String(pipeline_));
  } else {
    frame.AppendMember("pipeline", JsonValue::String(pipeline_));
  }
  return frame;
}

void ResponseWriter::AddReport(const StageOutput& output,
                               absl::Span<const StageCost> costs,
                               JsonValue* frame) const {
  JsonValue report = JsonValue::Object();
  report.AppendMember("config_version",
                      JsonValue::Number(static_cast<double>(config_version_)));
  report.AppendMember("cost_by_stage", CostsToJson(costs));
  report.AppendMember("documents", DocumentsToJson(output));
  frame->AppendMember("citronlane", std::move(report));
}

std::string ResponseWriter::CompleteResponse(
    const StageOutput& output,
    absl::Span<const StageCost> costs) const {
  JsonValue frame = Frame("chat.completion");
  const std::string text = output.text_.value_or("");
  if (kind_ == CallerRequest::Kind::kChat) {
    JsonValue message = JsonValue::Object();
    message.AppendMember("role", JsonValue::String("assistant"));
    message.AppendMember("content", JsonValue::String(text));
    frame.AppendMember("choices", Choice("message", std::move(message),
                                         output.finish_reason_));
    JsonValue usage = JsonValue::Object();
    usage.AppendMember("completion_tokens",
                       JsonValue::Number(static_cast<double>(TokensOf(costs))));
    frame.AppendMember("usage", std::move(usage));
  } else {
    frame.AppendMember("text", JsonValue::String(text));
    frame.AppendMember("finish_reason",
                       JsonValue::String(output.finish_reason_));
  }
  AddReport(output, costs, &frame);
  return WriteJson(frame);
}

std::string ResponseWriter::TextEvent(const EmitText& text) const {
  JsonValue frame = Frame("chat.completion.chunk");
  if (kind_ == CallerRequest::Kind::kChat) {
    JsonValue delta = JsonValue::Object();
    delta.AppendMember("content", JsonValue::String(text.text_));
    frame.AppendMember("choices", Choice("delta", std::move(delta), ""));
  } else {
    frame.AppendMember("offset",
                       JsonValue::Number(static_cast<double>(text.offset_)));
    frame.AppendMember("text", JsonValue::String(text.text_));
  }
  return Event(frame);
}

std::string ResponseWriter::FinalEvents(
    const StageOutput& output,
    absl::Span<const StageCost> costs) const {
  JsonValue frame = Frame("chat.completion.chunk");
  if (kind_ == CallerRequest::Kind::kChat) {
    frame.AppendMember(
        "choices", Choice("delta", JsonValue::Object(), output.finish_reason_));
  } else {
    frame.AppendMember("finish_reason",
                       JsonValue::String(output.finish_reason_));
  }
  AddReport(output, costs, &frame);
  return Event(frame) + "data: [DONE]\n\n";
}

std::string ResponseWriter::ErrorEvent(std::string_view problem) {
  return std::string("event: error\ndata: ").append(problem).append("\n\n");
}

}  // namespace citronlane
