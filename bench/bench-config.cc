#include <benchmark/benchmark.h>

#include <string>

#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

constexpr int kDigestLength = 64;
constexpr int kServersPerPool = 50;

// A 64-digit digest that differs for each number.
std::string Digest(int number) {
  std::string digits = std::to_string(number);
  return std::string(kDigestLength - digits.size(), '0') + digits;
}

std::string Accounts(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += (i > 0 ? ",\n" : "");
    text += "\"account-" + std::to_string(i) + R"(": {"key_digests": [")" +
            Digest(i) + R"("], "default_class": "chat"})";
  }
  return text;
}

std::string Pool(int number, int servers) {
  std::string text = "\"engines-" + std::to_string(number) +
                     R"(": {"kind": "engine", "servers": {)";
  for (int i = 0; i < servers; ++i) {
    text += (i > 0 ? ",\n" : "");
    text += "\"s" + std::to_string(number) + "-" + std::to_string(i) +
            R"(": {"address": "10.0.0.)" + std::to_string(i + 1) +
            R"(", "port": 8000, "failure_domain": "a"})";
  }
  return text + "}}";
}

std::string Document(int accounts, int servers) {
  std::string pools;
  for (int done = 0; done < servers; done += kServersPerPool) {
    pools += (done > 0 ? ",\n" : "");
    pools +=
        Pool(done / kServersPerPool, std::min(kServersPerPool, servers - done));
  }
  return R"({"classes": {"chat": {"answer_ms": 8000}}, "accounts": {)" +
         Accounts(accounts) + "},\n\"pools\": {" + pools + "}}";
}

// The size of a small deployment, a tenth of the target size, and the target
// size.
void ParseConfiguration(benchmark::State& state) {
  const std::string document = Document(static_cast<int>(state.range(0)),
                                        static_cast<int>(state.range(1)));
  std::vector<Fault> faults;
  for (auto step : state) {
    benchmark::DoNotOptimize(ParseClusterConfig(document, 1, &faults));
  }
  state.counters["faults"] = static_cast<double>(faults.size());
  state.counters["bytes"] = static_cast<double>(document.size());
}
BENCHMARK(ParseConfiguration)
    ->Args({5, 30})
    ->Args({350, 90})
    ->Args({3500, 900})
    ->ArgNames({"accounts", "servers"})
    ->Unit(benchmark::kMillisecond);

// Changes one class target in a document of the target size.
void ApplyPatch(benchmark::State& state) {
  Fault fault;
  const JsonValue document = *ParseJson(Document(3500, 900), &fault);
  const JsonValue patch =
      *ParseJson(R"({"classes": {"chat": {"answer_ms": 7000}}})", &fault);
  for (auto step : state) {
    JsonValue copy = document;
    ApplyMergePatch(patch, &copy);
    benchmark::DoNotOptimize(copy);
  }
}
BENCHMARK(ApplyPatch)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronlane

BENCHMARK_MAIN();
