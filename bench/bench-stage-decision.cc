#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "citronlane/serving/backend_server.h"
#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kBatch = 16;
constexpr int kDomains = 4;
/// Each server runs kBatch pieces; as many tasks wait again for each.
constexpr int kTasksPerServer = 20;
constexpr uint32_t kPiecesPerTask = 3;
constexpr TimePoint kStart{seconds(1000)};

StagePoolSpec Spec() {
  StagePoolSpec spec;
  spec.queue_ = 2;
  spec.batch_ = kBatch;
  spec.call_time_ = milliseconds(200);
  spec.piece_time_ = milliseconds(10);
  spec.result_capacity_bytes_ = uint64_t{1} << 30;
  spec.result_lifetime_ = seconds(4);
  return spec;
}

/// The owner of a pool all of whose servers run a call, with a queue of tasks
/// behind them.
class BusyPool {
 public:
  explicit BusyPool(int servers)
      : batcher_(Spec(), [](TimePoint) { return true; }) {
    for (int i = 0; i < servers; ++i) {
      BackendServer server;
      server.id_ = "server-" + std::to_string(i);
      server.address_ = "127.0.0.1:" + std::to_string(i);
      server.failure_domain_ = std::to_string(i % kDomains);
      servers_.push_back(server);
    }
    std::vector<const BackendServer*> listed;
    for (const BackendServer& server : servers_) {
      listed.push_back(&server);
    }
    batcher_.SetServers(listed);
    for (int i = 0; i < servers * kTasksPerServer; ++i) {
      Add(i);
    }
    while (batcher_.Next(kStart)) {
    }
  }

  uint64_t Add(int number) {
    StageTask task;
    task.request_id_ = "request-" + std::to_string(number);
    task.pieces_ = kPiecesPerTask;
    task.target_ = kStart + milliseconds(500 + number % 1000);
    task.deadline_ = kStart + seconds(6);
    task.result_bytes_ = 8000;
    return batcher_.Add(std::move(task), kStart);
  }

  std::vector<BackendServer> servers_;
  StageBatcher batcher_;
};

/// A task arrives while every server is busy and none is about to be free.
/// range(0): servers.
void ArriveAtBusyPool(benchmark::State& state) {
  BusyPool pool(static_cast<int>(state.range(0)));
  const TimePoint now = kStart + milliseconds(50);
  for (auto _ : state) {
    const uint64_t task = pool.Add(1);
    benchmark::DoNotOptimize(pool.batcher_.Next(now));
    pool.batcher_.Cancel(task);
  }
}

/// A task arrives while every server is about to be free and has a call queued
/// or too little capacity for a full one. range(0): servers.
void ArriveAtFullPool(benchmark::State& state) {
  BusyPool pool(static_cast<int>(state.range(0)));
  const TimePoint now = kStart + milliseconds(320);
  while (pool.batcher_.Next(now)) {
  }
  for (auto _ : state) {
    const uint64_t task = pool.Add(1);
    benchmark::DoNotOptimize(pool.batcher_.Next(now));
    pool.batcher_.Cancel(task);
  }
}

/// A call is formed from the pieces that wait. range(0): servers.
void FormCall(benchmark::State& state) {
  const TimePoint now = kStart + milliseconds(320);
  for (auto _ : state) {
    state.PauseTiming();
    auto pool = std::make_unique<BusyPool>(static_cast<int>(state.range(0)));
    state.ResumeTiming();
    benchmark::DoNotOptimize(pool->batcher_.Next(now));
    state.PauseTiming();
    pool.reset();
    state.ResumeTiming();
  }
}

/// The wait of a request that is announced. range(0): servers.
void EstimateWait(benchmark::State& state) {
  BusyPool pool(static_cast<int>(state.range(0)));
  StageForecast forecast;
  forecast.pieces_ = kPiecesPerTask;
  forecast.target_ = kStart + milliseconds(900);
  forecast.deadline_ = kStart + seconds(6);
  for (auto _ : state) {
    benchmark::DoNotOptimize(pool.batcher_.ExpectedWait(forecast, kStart));
  }
}

BENCHMARK(ArriveAtBusyPool)->Arg(20)->Arg(100)->Arg(300);
BENCHMARK(ArriveAtFullPool)->Arg(20)->Arg(100)->Arg(300);
BENCHMARK(FormCall)->Arg(20)->Arg(100)->Iterations(20);
BENCHMARK(EstimateWait)->Arg(20)->Arg(100)->Arg(300);

}  // namespace
}  // namespace citronlane

BENCHMARK_MAIN();
