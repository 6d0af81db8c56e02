#include "citronlane/transport/stage_adapter.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

#include "citronlane/config/stage_config.h"
#include "citronlane/json/parse.h"
#include "citronlane/request/pipeline_input.h"
#include "citronlane/request/start_call.h"

namespace citronlane {
namespace {

/// Distance between the priorities of adjacent classes at an engine, which
/// serves lower numbers first.
constexpr double kPriorityStep = 5;

/// Returns the member if it is an array, else null.
const JsonValue* FindArray(const JsonValue& object, std::string_view name) {
  const JsonValue* found = object.Find(name);
  return found != nullptr && found->IsArray() ? found : nullptr;
}

const std::vector<Document>& DocumentsOf(const StageOutput& output) {
  static const std::vector<Document> none;
  return output.documents_ ? *output.documents_ : none;
}

/// Serializes a non-empty object with one more member, whose value is given as
/// JSON text.
std::string WithRawMember(const JsonValue& object,
                          std::string_view name,
                          std::string_view raw) {
  std::string text = WriteJson(object);
  text.pop_back();
  text.append(",\"").append(name).append("\":").append(raw).append("}");
  return text;
}

std::string EncoderCall(const StageAdapterInput& input) {
  JsonValue call = JsonValue::Object();
  call.Set("model", JsonValue::String(input.stage_->model_));
  call.Set("input", JsonValue::String(input.input_->query_));
  return WriteJson(call);
}

std::string RetrieverCall(const StageAdapterInput& input) {
  JsonValue call = JsonValue::Object();
  call.Set("query", JsonValue::String(input.input_->query_));
  call.Set("top_k", JsonValue::Number(input.stage_->top_k_));
  return WithRawMember(call, "embedding",
                       input.before_->embedding_.value_or("[]"));
}

std::string RerankerCall(const StageAdapterInput& input) {
  JsonValue documents = JsonValue::Array();
  for (const Document& document : DocumentsOf(*input.before_)) {
    documents.Append(JsonValue::String(document.text_));
  }
  JsonValue call = JsonValue::Object();
  call.Set("query", JsonValue::String(input.input_->query_));
  call.Set("documents", std::move(documents));
  call.Set("top_n", JsonValue::Number(input.stage_->top_k_));
  return WriteJson(call);
}

std::string EnginePrompt(const StageAdapterInput& input) {
  std::string prompt = "Context:\n";
  for (const Document& document : DocumentsOf(*input.before_)) {
    prompt.append(document.text_).append("\n");
  }
  if (input.before_->text_) {
    prompt.append(*input.before_->text_).append("\n");
  }
  prompt.append("Question: ").append(input.input_->prompt_).append("\n");
  return prompt;
}

void SetMode(const StageAdapterInput& input, JsonValue* call) {
  const StartCall& start = *input.call_;
  if (start.mode_ == CallMode::kFresh) {
    return;
  }
  JsonValue mode = JsonValue::Object();
  if (start.mode_ == CallMode::kResume) {
    mode.Set("id", JsonValue::String(start.resumed_.ToHeader()));
  } else {
    mode.Set("text", JsonValue::String(input.text_));
  }
  mode.Set("offset", JsonValue::Number(static_cast<double>(start.offset_)));
  call->Set(start.mode_ == CallMode::kResume ? "resume" : "continue_from",
            std::move(mode));
}

std::string EngineCall(const StageAdapterInput& input) {
  const uint32_t bound = input.input_->max_tokens_;
  const uint32_t max_tokens = bound == 0
                                  ? input.stage_->max_tokens_
                                  : std::min(bound, input.stage_->max_tokens_);
  JsonValue call = JsonValue::Object();
  call.Set("model", JsonValue::String(input.stage_->model_));
  call.Set("prompt", JsonValue::String(EnginePrompt(input)));
  call.Set("max_tokens", JsonValue::Number(max_tokens));
  call.Set("stream", JsonValue::Bool(true));
  call.Set("priority",
           JsonValue::Number(input.input_->priority_ * kPriorityStep));
  SetMode(input, &call);
  return WriteJson(call);
}

std::optional<StageOutput> Fail(std::string_view message, Error* error) {
  error->message_ = std::string(message);
  return std::nullopt;
}

std::optional<StageOutput> EncoderReply(const JsonValue& reply, Error* error) {
  const JsonValue* data = FindArray(reply, "data");
  const JsonValue* embedding = data == nullptr || data->items().size() != 1
                                   ? nullptr
                                   : FindArray(data->items()[0], "embedding");
  if (embedding == nullptr || embedding->items().empty()) {
    return Fail("the encoder's reply contains no embedding", error);
  }
  const bool numbers =
      std::all_of(embedding->items().begin(), embedding->items().end(),
                  [](const JsonValue& item) { return item.IsNumber(); });
  if (!numbers) {
    return Fail("the encoder's embedding must contain only numbers", error);
  }
  StageOutput output;
  output.embedding_ = WriteJson(*embedding);
  return output;
}

std::optional<Document> ReadDocument(const JsonValue& item) {
  const JsonValue* id = item.Find("id");
  const JsonValue* text = item.Find("text");
  const JsonValue* score = item.Find("score");
  if (id == nullptr || !id->IsString() || text == nullptr ||
      !text->IsString()) {
    return std::nullopt;
  }
  const bool scored = score != nullptr && score->IsNumber();
  return Document{id->AsString(), text->AsString(),
                  scored ? score->AsNumber() : 0};
}

std::optional<StageOutput> RetrieverReply(const JsonValue& reply,
                                          Error* error) {
  const JsonValue* items = FindArray(reply, "documents");
  if (items == nullptr) {
    return Fail("the retriever's reply contains no documents", error);
  }
  std::vector<Document> documents;
  for (const JsonValue& item : items->items()) {
    std::optional<Document> document = ReadDocument(item);
    if (!document) {
      return Fail("a document of the retriever has no id or text", error);
    }
    documents.push_back(*std::move(document));
  }
  StageOutput output;
  output.documents_ = std::move(documents);
  return output;
}

std::optional<StageOutput> RerankerReply(const JsonValue& reply,
                                         const StageOutput& before,
                                         Error* error) {
  const JsonValue* results = FindArray(reply, "results");
  if (results == nullptr) {
    return Fail("the reranker's reply contains no results", error);
  }
  const std::vector<Document>& known = DocumentsOf(before);
  std::vector<bool> used(known.size());
  std::vector<Document> documents;
  for (const JsonValue& item : results->items()) {
    const JsonValue* index = item.Find("index");
    const JsonValue* score = item.Find("relevance_score");
    if (index == nullptr || !index->IsNumber() || index->AsNumber() < 0 ||
        index->AsNumber() >= static_cast<double>(known.size()) ||
        index->AsNumber() != std::floor(index->AsNumber()) ||
        score == nullptr || !score->IsNumber()) {
      return Fail("a result of the reranker has no valid index and score",
                  error);
    }
    const auto position = static_cast<size_t>(index->AsNumber());
    if (used[position]) {
      return Fail("the reranker's reply contains a document twice", error);
    }
    used[position] = true;
    documents.push_back(known[position]);
    documents.back().score_ = score->AsNumber();
  }
  StageOutput output;
  output.documents_ = std::move(documents);
  return output;
}

}  // namespace

StageAdapter::StageAdapter(StageKind kind) : kind_(kind) {}

std::string_view StageAdapter::Target() const {
  switch (kind_) {
    case StageKind::kEncoder:
      return "/v1/embeddings";
    case StageKind::kRetriever:
      return "/v1/search";
    case StageKind::kReranker:
      return "/v1/rerank";
    case StageKind::kEngine:
      return "/v1/completions";
    case StageKind::kService:
      break;
  }
  return "/";
}

std::string StageAdapter::WriteCall(const StageAdapterInput& input) const {
  switch (kind_) {
    case StageKind::kEncoder:
      return EncoderCall(input);
    case StageKind::kRetriever:
      return RetrieverCall(input);
    case StageKind::kReranker:
      return RerankerCall(input);
    case StageKind::kEngine:
      return EngineCall(input);
    case StageKind::kService:
      break;
  }
  return {};
}

std::optional<StageOutput> StageAdapter::ReadReply(std::string_view body,
                                                   const StageOutput& before,
                                                   Error* error) const {
  Fault fault;
  const std::optional<JsonValue> reply = ParseJson(body, &fault);
  if (!reply) {
    return Fail("the reply is not JSON: " + fault.message_, error);
  }
  switch (kind_) {
    case StageKind::kEncoder:
      return EncoderReply(*reply, error);
    case StageKind::kRetriever:
      return RetrieverReply(*reply, error);
    case StageKind::kReranker:
      return RerankerReply(*reply, before, error);
    case StageKind::kEngine:
    case StageKind::kService:
      break;
  }
  return Fail("this kind of stage has no complete reply", error);
}

}  // namespace citronlane
