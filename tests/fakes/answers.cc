#include "fakes/answers.h"

#include <algorithm>
#include <cmath>

#include "fakes/content.h"

namespace citronlane::fakes {
namespace {

constexpr double kTolerance = 1e-4;
constexpr int64_t kDefaultTop = 8;

const JsonView* ArrayAt(const JsonView& body, const char* name) {
  const auto found = body.FindMember(name);
  return found != body.MemberEnd() && found->value.IsArray() ? &found->value
                                                             : nullptr;
}

bool EmbeddingMatches(const JsonView& body) {
  const JsonView* given = ArrayAt(body, "embedding");
  const auto wanted = EmbeddingOf(StringAt(body, "query"));
  if (given == nullptr || given->Empty()) {
    return true;  // The pipeline has no encoder.
  }
  if (given->Size() != wanted.size()) {
    return false;
  }
  for (rapidjson::SizeType i = 0; i < given->Size(); ++i) {
    if (std::abs((*given)[i].GetDouble() - wanted[i]) > kTolerance) {
      return false;
    }
  }
  return true;
}

bool DocumentsMatch(const JsonView& body) {
  const JsonView* documents = ArrayAt(body, "documents");
  const std::string query = StringAt(body, "query");
  return documents == nullptr ||
         std::all_of(documents->Begin(), documents->End(),
                     [&query](const JsonView& document) {
                       return document.IsString() &&
                              IsDocumentOf(query, document.GetString());
                     });
}

void WriteEmbedding(JsonWriter* writer, const JsonView& body) {
  writer->Key("data");
  writer->StartArray();
  writer->StartObject();
  writer->Key("index");
  writer->Int(0);
  writer->Key("embedding");
  writer->StartArray();
  for (const double number : EmbeddingOf(StringAt(body, "input"))) {
    writer->Double(number);
  }
  writer->EndArray();
  writer->EndObject();
  writer->EndArray();
  writer->Key("usage");
  writer->StartObject();
  writer->Key("prompt_tokens");
  writer->Uint64(StringAt(body, "input").size());
  writer->EndObject();
}

void WriteDocuments(JsonWriter* writer, const JsonView& body) {
  const std::string query = StringAt(body, "query");
  const int64_t count = NumberAt(body, "top_k", kDefaultTop);
  writer->Key("documents");
  writer->StartArray();
  for (int64_t i = 0; i < count; ++i) {
    writer->StartObject();
    writer->Key("id");
    Write(writer, Digest(query, "id", i));
    writer->Key("text");
    Write(writer, DocumentOf(query, i));
    writer->Key("score");
    writer->Double(1.0 / static_cast<double>(i + 1));
    writer->EndObject();
  }
  writer->EndArray();
}

/// Ranks the documents in reverse order.
void WriteRanking(JsonWriter* writer, const JsonView& body) {
  const JsonView* documents = ArrayAt(body, "documents");
  const int64_t size = documents == nullptr ? 0 : documents->Size();
  const int64_t count = std::min(size, NumberAt(body, "top_n", size));
  writer->Key("results");
  writer->StartArray();
  for (int64_t i = 0; i < count; ++i) {
    writer->StartObject();
    writer->Key("index");
    writer->Int64(size - 1 - i);
    writer->Key("relevance_score");
    writer->Double(1.0 / static_cast<double>(i + 1));
    writer->EndObject();
  }
  writer->EndArray();
}

}  // namespace

std::string TextOf(std::string_view kind,
                   const JsonView& body,
                   std::string_view raw) {
  if (kind == "encoder") {
    return StringAt(body, "input");
  }
  if (kind == "engine") {
    return QuestionOf(StringAt(body, "prompt"));
  }
  return kind == "service" ? std::string(raw) : StringAt(body, "query");
}

bool IsMixed(std::string_view kind, const JsonView& body) {
  if (kind == "retriever") {
    return !EmbeddingMatches(body);
  }
  if (kind == "reranker") {
    return !DocumentsMatch(body);
  }
  return kind == "engine" && !ContextMatches(StringAt(body, "prompt"));
}

std::string ReplyBody(const ServerSpec& spec,
                      const JsonView& body,
                      std::string_view raw) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  if (spec.kind_ == "encoder") {
    WriteEmbedding(&writer, body);
  } else if (spec.kind_ == "retriever") {
    WriteDocuments(&writer, body);
  } else if (spec.kind_ == "reranker") {
    WriteRanking(&writer, body);
  } else {
    writer.Key("service");
    Write(&writer, spec.pool_);
    writer.Key("digest");
    Write(&writer, Digest(raw, "service", 0));
  }
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace citronlane::fakes
