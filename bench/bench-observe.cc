#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"

namespace citronlane {
namespace {

constexpr int kThreads = 4;
constexpr size_t kManySeries = 100'000;
constexpr int kAccounts = 3500;

// All threads count the same series: the worst case for a shared lock.
void CountOneSeries(benchmark::State& state) {
  static Metrics* metrics = nullptr;
  if (state.thread_index() == 0) {
    metrics = new Metrics(kManySeries, static_cast<size_t>(state.range(0)));
  }
  for (auto step : state) {
    metrics->Count(kAttemptsTotal, {"engines", "success"});
    metrics->Observe(kRequestSeconds, {"chat"}, std::chrono::milliseconds(3));
  }
  if (state.thread_index() == 0) {
    delete metrics;
  }
}
BENCHMARK(CountOneSeries)
    ->Arg(1)
    ->Arg(static_cast<int>(Metrics::kDefaultShards))
    ->ArgName("shards")
    ->Threads(1)
    ->Threads(kThreads)
    ->UseRealTime();

// Text for /metrics with a series for each account of the target size.
void WriteText(benchmark::State& state) {
  Metrics metrics(kManySeries);
  for (int i = 0; i < kAccounts; ++i) {
    const std::string account = "account-" + std::to_string(i);
    metrics.Count(kTargetsMetTotal, {"chat", account});
    metrics.Count(kRequestsTotal, {"chat", account, "answered"});
  }
  size_t bytes = 0;
  for (auto step : state) {
    bytes = metrics.Text().size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(WriteText)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronlane

BENCHMARK_MAIN();
