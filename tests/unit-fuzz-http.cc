#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "citronlane/base/sha256.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/caller_request_reader.h"
#include "citronlane/gateway/config_view.h"
#include "citronlane/transport/http_request.h"
#include "citronlane/transport/stage_adapter.h"
#include "citronlane/transport/stage_token_reader.h"

namespace citronlane {
namespace {

const std::vector<std::string>& Corpus() {
  static const std::vector<std::string> corpus = {
      R"({"model": "ask", "stream": true, "max_tokens": 5,
          "messages": [{"role": "user", "content": "a\u00e9\n"}]})",
      R"({"input": "x", "stream": false})",
      R"({"data":[{"index":0,"embedding":[0.1,-2e3]}]})",
      R"({"documents":[{"id":"a","text":"b","score":0.5}]})",
      R"({"results":[{"index":0,"relevance_score":0.9}]})",
      R"(data: {"offset":0,"choices":[{"index":0,"text":"t"}]}
data: [DONE]
)",
      std::string(200, '[') + std::string(200, ']'),
  };
  return corpus;
}

/// A random text of the corpus with some bytes changed, removed, duplicated or
/// inserted.
std::string Mutate(std::mt19937_64* random) {
  const auto draw = [random](size_t bound) { return (*random)() % bound; };
  std::string text = Corpus()[draw(Corpus().size())];
  const size_t changes = 1 + draw(6);
  for (size_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = draw(text.size());
    switch (draw(4)) {
      case 0:
        text[at] = static_cast<char>(draw(256));
        break;
      case 1:
        text.erase(at, 1 + draw(8));
        break;
      case 2:
        text.insert(at, text.substr(draw(text.size()), draw(20)));
        break;
      default:
        text.insert(at, 1, "{}[]\",:0e-\\\n"[draw(12)]);
        break;
    }
  }
  return text;
}

std::shared_ptr<const ClusterConfig> SmallConfig() {
  auto config = std::make_shared<ClusterConfig>();
  config->version_ = 1;
  config->classes_["c"].name_ = "c";
  AccountConfig& account = config->accounts_["a"];
  account.name_ = "a";
  account.default_class_ = "c";
  account.key_digests_ = {Sha256Hex("k")};
  PipelineConfig& pipeline = config->pipelines_["ask"];
  pipeline.name_ = "ask";
  pipeline.stages_.resize(1);
  return config;
}

}  // namespace

TEST_CASE("mutated bytes of callers and backend servers") {
  const ConfigView view(SmallConfig());
  CHECK(rc::check("no crash, and a reason for each refusal", [&view](uint64_t
                                                                         seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 200; ++i) {
      const std::string text = Mutate(&random);
      for (const char* target : {"/v1/chat/completions", "/v1/pipelines/ask"}) {
        HttpRequest request;
        request.method_ = "POST";
        request.target_ = target;
        request.headers_ = {{"Authorization", "Bearer k"}};
        request.body_ = text;
        CallerRequestReader reader(request, view);
        RC_ASSERT(reader.Read() || reader.reason() != RefusalReason::kInternal);
      }
      for (const StageKind kind :
           {StageKind::kEncoder, StageKind::kRetriever, StageKind::kReranker}) {
        Error error;
        RC_ASSERT(StageAdapter(kind).ReadReply(text, StageOutput(), &error) ||
                  !error.message_.empty());
      }
      StageTokenReader tokens(64, [](const Token&) { return true; });
      tokens.Feed(text);
    }
  }));
}

}  // namespace citronlane
