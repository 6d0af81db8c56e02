#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/config/stage_config.h"
#include "citronlane/json/parse.h"
#include "citronlane/request/pipeline_input.h"
#include "citronlane/request/start_call.h"
#include "citronlane/transport/stage_adapter.h"
#include "citronlane/transport/stage_token_reader.h"

namespace citronlane {
namespace {

StageOutput TwoDocuments() {
  StageOutput output;
  output.embedding_ = "[0.5,1]";
  output.documents_ = {{"a", "about cotton", 0.2}, {"b", "about wool", 0.1}};
  return output;
}

std::string CallOf(StageKind kind, const StartCall& start = {}) {
  StageConfig stage;
  stage.model_ = "m";
  stage.max_tokens_ = 64;
  stage.top_k_ = 2;
  PipelineInput input;
  input.query_ = "which?";
  input.prompt_ = "which?";
  const StageOutput before = TwoDocuments();
  return StageAdapter(kind).WriteCall(
      {&stage, &input, &before, &start, "so far "});
}

std::string ErrorOf(StageKind kind, const std::string& reply) {
  Error error;
  CHECK_FALSE(StageAdapter(kind).ReadReply(reply, TwoDocuments(), &error));
  return error.message_;
}

StageOutput ReplyOf(StageKind kind, const std::string& reply) {
  Error error;
  const auto output =
      StageAdapter(kind).ReadReply(reply, TwoDocuments(), &error);
  INFO(error.message_);
  REQUIRE(output);
  return *output;
}

std::string TokenEvent(uint64_t offset, const std::string& finish = "null") {
  return "data: {\"offset\":" + std::to_string(offset) +
         R"(,"choices":[{"index":0,"text":"t","finish_reason":)" + finish +
         "}]}\n\n";
}

}  // namespace

TEST_CASE("stage adapter") {
  SECTION("writes the calls of docs/design/backend-calls.md") {
    CHECK(CallOf(StageKind::kEncoder) == R"({"model":"m","input":"which?"})");
    CHECK(CallOf(StageKind::kRetriever) ==
          R"({"query":"which?","top_k":2,"embedding":[0.5,1]})");
    CHECK(CallOf(StageKind::kReranker) ==
          R"({"query":"which?","documents":["about cotton","about wool"],)"
          R"("top_n":2})");
    CHECK(CallOf(StageKind::kEngine) ==
          R"({"model":"m","prompt":"Context:\nabout cotton\nabout wool\n)"
          R"(Question: which?\n","max_tokens":64,"stream":true,"priority":0})");
  }

  SECTION("writes how to resume or continue a stream") {
    StartCall start;
    start.offset_ = 3;
    start.resumed_ = {"r", 3, 0};
    start.mode_ = CallMode::kResume;
    CHECK(CallOf(StageKind::kEngine, start)
              .find(R"("resume":{"id":"r/3/0","offset":3})") !=
          std::string::npos);
    start.mode_ = CallMode::kContinue;
    CHECK(CallOf(StageKind::kEngine, start)
              .find(R"("continue_from":{"text":"so far ","offset":3})") !=
          std::string::npos);
  }

  SECTION("reads replies") {
    CHECK(ReplyOf(StageKind::kEncoder, R"({"data":[{"embedding":[1,2.5]}]})")
              .embedding_ == "[1,2.5]");
    const auto found =
        ReplyOf(StageKind::kRetriever,
                R"({"documents":[{"id":"x","text":"y","score":0.5}]})");
    CHECK(found.documents_->at(0).id_ == "x");
    const auto ranked =
        ReplyOf(StageKind::kReranker,
                R"({"results":[{"index":1,"relevance_score":0.9},)"
                R"({"index":0,"relevance_score":0.3}]})");
    CHECK(ranked.documents_->at(0).id_ == "b");
    CHECK(ranked.documents_->at(0).score_ == 0.9);
  }

  SECTION("rejects replies of another format") {
    const std::vector<std::pair<StageKind, std::string>> cases = {
        {StageKind::kEncoder, "{\"data\": ["},
        {StageKind::kEncoder, R"({"data":[]})"},
        {StageKind::kEncoder, R"({"data":[{"embedding":["a"]}]})"},
        {StageKind::kRetriever, R"({"documents":7})"},
        {StageKind::kRetriever, R"({"documents":[{"id":"x"}]})"},
        {StageKind::kReranker,
         R"({"results":[{"index":2,"relevance_score":1}]})"},
        {StageKind::kReranker, R"({"results":[{"index":0,"relevance_score":1},)"
                               R"({"index":0,"relevance_score":1}]})"},
        {StageKind::kEngine, "{}"},
    };
    for (const auto& [kind, reply] : cases) {
      INFO(reply);
      CHECK_FALSE(ErrorOf(kind, reply).empty());
    }
  }
}

TEST_CASE("stage token reader") {
  std::vector<Token> tokens;
  StageTokenReader reader(256, [&tokens](const Token& token) {
    tokens.push_back(token);
    return true;
  });

  SECTION("reads tokens however the bytes are split") {
    const std::string text = ": comment\r\n" + TokenEvent(0) +
                             TokenEvent(1, "\"stop\"") + "data: [DONE]\n\n";
    CHECK(rc::check("split anywhere", [&text](
                                          const std::vector<uint8_t>& cuts) {
      std::vector<std::string> seen;
      StageTokenReader cut(256, [&seen](const Token& token) {
        seen.push_back(token.text_ + token.finish_reason_);
        return true;
      });
      size_t begin = 0;
      for (const uint8_t length : cuts) {
        RC_ASSERT(cut.Feed(text.substr(std::min(begin, text.size()), length)));
        begin += length;
      }
      RC_ASSERT(cut.Feed(text.substr(std::min(begin, text.size()))));
      RC_ASSERT(seen == (std::vector<std::string>{"t", "tstop"}));
      RC_ASSERT(cut.done());
    }));
  }

  SECTION("rejects events that are no tokens") {
    for (const char* bad :
         {"data: {\n", "data: {\"offset\":-1}\n",
          "data: {\"offset\":0.5,\"choices\":[{\"text\":\"t\"}]}\n",
          "data: {\"offset\":0,\"choices\":[]}\n",
          "data: {\"offset\":0,\"choices\":[{\"text\":7}]}\n"}) {
      INFO(bad);
      StageTokenReader fresh(256, [](const Token&) { return true; });
      CHECK_FALSE(fresh.Feed(bad));
    }
  }

  SECTION("limits the size of an event without an end") {
    CHECK(reader.Feed("data: "));
    CHECK_FALSE(reader.Feed(std::string(300, 'x')));
  }

  SECTION("rejects events after the end") {
    CHECK(reader.Feed("data: [DONE]\n"));
    CHECK_FALSE(reader.Feed(TokenEvent(2)));
    CHECK(tokens.empty());
  }
}

}  // namespace citronlane
