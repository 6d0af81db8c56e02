#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "citronlane/routing/engine_router.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSegments = 64;
constexpr int kRunsPerEngine = 20;

/// range(0): engines; range(1): whether the router sees all requests, and has
/// learned from them.
void Choose(benchmark::State& state) {
  std::vector<BackendServer> servers(state.range(0));
  std::vector<const BackendServer*> pointers;
  for (size_t i = 0; i < servers.size(); ++i) {
    servers[i].id_ = "engine-" + std::to_string(i);
    pointers.push_back(&servers[i]);
  }
  EngineRouter router(seconds(10));
  router.Update(pointers);
  router.SetSpec(EngineSpec{48, 333'790});
  std::mt19937 random(5);
  TimePoint now{seconds(1000)};
  std::vector<PromptSegment> prompt = {{"", 2000}, {"own", 1500}};
  EngineRouter::Call call;
  call.prompt_ = prompt;
  call.route_ = "route";
  call.account_ = "account";
  call.expected_output_tokens_ = 60;
  call.sees_all_requests_ = state.range(1) != 0;
  for (int i = 0; i < kRunsPerEngine; ++i) {
    for (const BackendServer& server : servers) {
      now += milliseconds(1);
      prompt[0].id_ = "segment-" + std::to_string(random() % kSegments);
      EngineRun run = router.Begin(server.id_, now, call);
      router.FirstEvent(&run, now, milliseconds(40 + random() % 40));
      if (i % 2 == 0) {
        router.End(run, now, CallOutcome::kSuccess,
                   EngineOutput{9, milliseconds(90)});
      }
    }
  }
  for (auto _ : state) {
    now += milliseconds(1);
    prompt[0].id_ = "segment-" + std::to_string(random() % kSegments);
    benchmark::DoNotOptimize(router.Choose(now, call, {}));
  }
}

BENCHMARK(Choose)->ArgsProduct({{20, 100, 1000}, {0, 1}});

}  // namespace
}  // namespace citronlane

BENCHMARK_MAIN();
