#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "citronlane/serving/event_splitter.h"
#include "fleet.pb.h"
#include "platform/config_reader.h"
#include "platform/headers.h"
#include "platform/server_calls.h"
#include "platform/server_list.h"
#include "platform/settings_reader.h"

namespace citronlane::platform {
namespace {

constexpr int kRounds = 3000;
constexpr unsigned kSeed = 20261202;
constexpr const char* kSeeds[] = {
    R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/",)"
    R"("kind":"safe","timeout_ms":10,"service":"s","stages":[{"service":"s",)"
    R"("after":[0],"size_bytes":-1}]}],"services":[{"name":"s","pieces":)"
    R"({"batch":0}}],"tenants":[{"name":"t","api_keys":["k"]}]})",
    R"({"instances":[{"id":"i","service":"s","address":"1.2.3.4:5"}],)"
    R"("next":"p"})",
    R"({"items":[{"handle":"a:1/x"},{"reason":"gone"}]})",
    R"({"ip":"1.2.3.4","internal_ports":[1,2],"listen":{"front":"x"},)"
    R"("seeds":["1.2.3.4:5","x"],"cloud_api":{"rate_per_s":0}})",
    "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n",
    "99999999999999999999",
    "-1,,:,:5,a:b:c",
    "1e99"};
constexpr const char* kTokens[] = {"{",    "}",    "[",     "]",   ":",
                                   ",",    "\"",   "\\",    "\n",  "\r\n\r\n",
                                   "null", "-1",   "1e999", "0.5", "\xff",
                                   "id: ", "true", "[]",    "{}",  "0"};

std::string Mutated(std::string text, std::mt19937* random) {
  const auto below = [random](size_t bound) { return (*random)() % bound; };
  const size_t edits = 1 + below(6);
  for (size_t i = 0; i < edits; ++i) {
    const size_t at = below(text.size() + 1);
    switch (below(4)) {
      case 0:
        text.insert(at, kTokens[below(std::size(kTokens))]);
        break;
      case 1:
        text.erase(at, 1 + below(8));
        break;
      case 2:
        text.resize(at);
        break;
      default:
        text.insert(at, 1, static_cast<char>(below(256)));
        break;
    }
  }
  return text;
}

void ForEachMutation(const std::function<void(const std::string&)>& check) {
  std::mt19937 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    check(Mutated(kSeeds[random() % std::size(kSeeds)], &random));
  }
}

}  // namespace

TEST_CASE("decoders of the platform survive any bytes") {
  SECTION("documents: either a configuration or validation errors") {
    ForEachMutation([](const std::string& text) {
      std::vector<std::string> faults;
      const auto config = ReadConfig(text, &faults);
      REQUIRE((config == nullptr) == !faults.empty());
    });
  }
  SECTION("lists, stage replies and settings: a value or a reason") {
    ForEachMutation([](const std::string& text) {
      Error list;
      Error reply;
      Error settings;
      const bool has_list = ReadList(text, &list).has_value();
      const bool has_reply = ReadStageReply(text, &reply).has_value();
      const bool has_settings = ReadSettings(text, &settings).has_value();
      REQUIRE(has_list == list.message_.empty());
      REQUIRE(has_reply == reply.message_.empty());
      REQUIRE(has_settings == settings.message_.empty());
    });
  }
  SECTION("headers") {
    ForEachMutation([](const std::string& text) {
      std::vector<HttpHeader> headers;
      for (const char* name :
           {"X-Citronlane-Deadline-Ms", "X-Citronlane-Prompt-Prefix",
            "X-Citronlane-Token-Usage", "X-Citronlane-Pieces", "Keep-Alive",
            "Last-Event-Id", "X-Citronlane-Length-Hint"}) {
        headers.push_back({name, text});
      }
      const RequestHead head = ReadRequest(headers);
      REQUIRE((!head.time_left_ || *head.time_left_ >= Duration()));
      ReadReply(200, headers);
    });
  }
  SECTION("event streams: the output is a prefix of the input") {
    ForEachMutation([](const std::string& text) {
      EventSplitter splitter(std::nullopt);
      std::string output;
      splitter.Feed(text, &output);
      REQUIRE(text.compare(0, output.size(), output) == 0);
    });
  }
  SECTION("frames of the fleet's own protocol") {
    ForEachMutation([](const std::string& text) {
      wire::fleet::Frame frame;
      if (frame.ParseFromString(text)) {
        REQUIRE(frame.ByteSizeLong() <= text.size() + 64);
      }
    });
  }
}

}  // namespace citronlane::platform
