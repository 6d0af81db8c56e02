#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include <benchmark/benchmark.h>

#include "citronlane/admission/admission_controller.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/config/pool_config.h"
#include "citronlane/routing/pool_router.h"

namespace citronlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 7;
constexpr int kCallsPerServer = 2;
constexpr int kPeers = 7;
/// Time between two decisions of a gateway when 360 gateways serve 12,000
/// requests per second.
constexpr Duration kDecisionGap = milliseconds(30);

PoolConfig MakePool(int servers) {
  PoolConfig pool;
  for (int i = 0; i < servers; ++i) {
    const std::string id = "server-" + std::to_string(i);
    pool.servers_[id] = {id, "127.0.0.1", 1, std::to_string(i % kDomains)};
  }
  return pool;
}

/// A router with learned latencies and peers' loads. With `overdue`, every
/// server has calls in flight that never end.
class WarmRouter {
 public:
  WarmRouter(int servers, bool overdue) : pool_(MakePool(servers)) {
    RouterOptions options;
    options.failure_domain_ = "0";
    router_ = std::make_unique<PoolRouter>(
        pool_, options, [this](uint64_t bound) { return random_() % bound; });
    for (const auto& [id, server] : pool_.servers_) {
      for (int i = 0; i < kCallsPerServer; ++i) {
        router_->OnStart(id, now_, call_);
        if (overdue) {
          router_->OnStart(id, now_, call_);
        }
        router_->OnFinish(id, now_ + milliseconds(100 + i),
                          CallOutcome::kSuccess, milliseconds(100 + i), 0,
                          call_);
      }
      for (int peer = 0; peer < kPeers; ++peer) {
        router_->OnPeerLoad("gateway-" + std::to_string(peer), id, now_, 1);
      }
    }
    now_ += milliseconds(200);
  }

  PoolConfig pool_;
  std::mt19937_64 random_{5};
  TimePoint now_{seconds(1000)};
  CallShape call_;
  std::unique_ptr<PoolRouter> router_;
};

/// range(0): number of servers; range(1): microseconds between two decisions;
/// range(2): whether every server is suspect.
void Choose(benchmark::State& state) {
  WarmRouter warm(static_cast<int>(state.range(0)), state.range(2) != 0);
  Error error;
  for (auto _ : state) {
    warm.now_ += microseconds(state.range(1));
    warm.call_.prefix_hash_ = warm.random_();
    benchmark::DoNotOptimize(
        warm.router_->Choose(warm.now_, warm.call_, {}, &error));
  }
}
BENCHMARK(Choose)
    ->Args({12, 1000, 0})
    ->Args({900, 1000, 0})
    ->Args({900, Duration(kDecisionGap).count(), 0})
    ->Args({900, Duration(kDecisionGap).count(), 1});

void ChooseStartFinish(benchmark::State& state) {
  WarmRouter warm(static_cast<int>(state.range(0)), false);
  Error error;
  for (auto _ : state) {
    warm.now_ += milliseconds(1);
    const auto choice = warm.router_->Choose(warm.now_, warm.call_, {}, &error);
    warm.router_->OnStart(choice->server_, warm.now_, warm.call_);
    warm.router_->OnFinish(choice->server_, warm.now_ + microseconds(500),
                           CallOutcome::kSuccess, microseconds(500), 0,
                           warm.call_);
  }
}
BENCHMARK(ChooseStartFinish)->Arg(12)->Arg(900);

void Estimate(benchmark::State& state) {
  WarmRouter warm(static_cast<int>(state.range(0)), false);
  for (auto _ : state) {
    warm.now_ += milliseconds(1);
    benchmark::DoNotOptimize(
        warm.router_->ExpectedFinish(warm.now_, warm.call_));
  }
}
BENCHMARK(Estimate)->Arg(12)->Arg(900);

void HedgeDelay(benchmark::State& state) {
  WarmRouter warm(static_cast<int>(state.range(0)), false);
  for (auto _ : state) {
    benchmark::DoNotOptimize(warm.router_->HedgeDelay(warm.call_));
  }
}
BENCHMARK(HedgeDelay)->Arg(900);

/// range(0): number of client accounts in use.
void Admit(benchmark::State& state) {
  ClusterConfig config;
  config.classes_["chat"] = {"chat", seconds(1), seconds(4), 0.95, {}, {}};
  std::mt19937_64 random(5);
  AdmissionController admission(
      config, {}, [&random](uint64_t bound) { return random() % bound; });
  AdmissionQuery query;
  query.class_name_ = "chat";
  query.target_ = seconds(4);
  query.deadline_ = seconds(8);
  query.expected_cost_ = 1;
  query.bottleneck_pool_ = "engines";
  TimePoint now{seconds(1000)};
  uint64_t accounts = 0;
  for (auto _ : state) {
    now += milliseconds(1);
    // The pool is contended for a third of the requests.
    query.expected_finish_ = milliseconds(accounts % 3 == 0 ? 3000 : 1000);
    query.account_ =
        "account-" +
        std::to_string(accounts++ % static_cast<uint64_t>(state.range(0)));
    benchmark::DoNotOptimize(admission.Admit(now, query));
  }
}
BENCHMARK(Admit)->Arg(5)->Arg(3500);

}  // namespace
}  // namespace citronlane

BENCHMARK_MAIN();
