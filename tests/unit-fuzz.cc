#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"
#include "citronlane/settings/control_settings.h"
#include "citronlane/settings/files.h"
#include "citronlane/settings/gateway_settings.h"

namespace citronlane {
namespace {

constexpr int kRounds = 3000;
constexpr int kMaxEdits = 8;
constexpr unsigned kSeed = 20261202;
// Tokens whose insertion reaches other branches of the parsers.
constexpr const char* kTokens[] = {"{",        "}",
                                   "[",        "]",
                                   ":",        ",",
                                   "\"",       "//",
                                   "/*",       "*/",
                                   "\\u",      "\\",
                                   "null",     "true",
                                   "-1",       "1e999",
                                   "0.5",      "999999999999999999999",
                                   "\xff",     "\xed\xa0\x80",
                                   "\n",       "{\"x\":",
                                   "[[[[[[[[", "\"\"",
                                   "\"a\"",    "127.0.0.1"};

std::string Mutated(std::string text, std::mt19937* random) {
  const auto below = [random](size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(*random);
  };
  const size_t edits = 1 + below(kMaxEdits);
  for (size_t i = 0; i < edits && !text.empty(); ++i) {
    const size_t position = below(text.size());
    switch (below(4)) {
      case 0:
        text[position] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(position, 1 + below(20));
        break;
      case 2:
        text.insert(position, kTokens[below(std::size(kTokens))]);
        break;
      default:
        text.insert(position, text.substr(below(text.size()), below(60)));
        break;
    }
  }
  return text;
}

std::string Example(const std::string& name) {
  Error error;
  const auto text = ReadFile(
      std::string(CITRONLANE_SOURCE_DIR) + "/examples/qurak/" + name, &error);
  REQUIRE(text);
  return *text;
}

// Calls `accept` with mutations of the text. It must either return true, or
// return false and add faults with line and message.
void Fuzz(const std::string& text,
          const std::function<bool(const std::string&, std::vector<Fault>*)>&
              accept) {
  std::mt19937 random(kSeed);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string mutated = Mutated(text, &random);
    std::vector<Fault> faults;
    const bool accepted = accept(mutated, &faults);
    if (accepted != faults.empty()) {
      FAIL("round " << round << " accepted " << accepted << " with "
                    << faults.size() << " faults");
    }
    refused += accepted ? 0 : 1;
    for (const Fault& fault : faults) {
      if (fault.message_.empty() || fault.line_ < 1) {
        FAIL("round " << round << " fault without line or message");
      }
    }
  }
  CHECK(refused > 0);
  CHECK(refused < kRounds);
}

}  // namespace

TEST_CASE("mutated input") {
  SECTION("of JSON is refused with a line, or keeps its value when written") {
    Fuzz(Example("configuration.json"),
         [](const std::string& text, std::vector<Fault>* faults) {
           Fault fault;
           const auto value = ParseJson(text, &fault);
           if (!value) {
             faults->push_back(fault);
             return false;
           }
           const std::string written = WriteJson(*value);
           const auto again = ParseJson(written, &fault);
           return again.has_value() && WriteJson(*again) == written;
         });
  }
  SECTION("of merge patches never breaks a document") {
    Fault fault;
    const auto document = ParseJson(Example("configuration.json"), &fault);
    REQUIRE(document);
    Fuzz(R"({"classes":{"chat":{"attainment":null}},"pools":{"engines":null}})",
         [&](const std::string& text, std::vector<Fault>* faults) {
           Fault reason;
           const auto patch = ParseJson(text, &reason);
           if (!patch) {
             faults->push_back(reason);
             return false;
           }
           JsonValue once = *document;
           ApplyMergePatch(*patch, &once);
           JsonValue twice = once;
           ApplyMergePatch(*patch, &twice);
           return WriteJson(once) == WriteJson(twice);
         });
  }
  SECTION("of configurations is refused with faults") {
    Fuzz(Example("configuration.json"),
         [](const std::string& text, std::vector<Fault>* faults) {
           return ParseClusterConfig(text, 1, faults).has_value();
         });
  }
  SECTION("of settings is refused with faults") {
    Fuzz(Example("gateway.json"), [](const std::string& text,
                                     std::vector<Fault>* faults) {
      return ParseGatewaySettings(text, "settings.json", faults).has_value();
    });
    Fuzz(Example("control.json"), [](const std::string& text,
                                     std::vector<Fault>* faults) {
      return ParseControlSettings(text, "settings.json", faults).has_value();
    });
  }
}

}  // namespace citronlane
