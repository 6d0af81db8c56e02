#include "policy/deployment.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEngines[] = "engines";
constexpr double kMeanTokens = 48;
constexpr uint32_t kMaxTokens = 128;
constexpr double kAttainment = 0.95;
/// Fraction of calls with a cached prefix; used only to compute the capacity.
constexpr double kUsualHits = 0.5;
constexpr double kEnginePart = 0.95;

PoolModel Engines(int servers) {
  PoolModel pool;
  pool.name_ = kEngines;
  pool.kind_ = StageKind::kEngine;
  pool.servers_ = servers;
  pool.slots_ = 8;
  pool.call_time_ = milliseconds(160);
  pool.token_time_ = milliseconds(15);
  pool.token_time_growth_ = 0.05;
  pool.hit_part_ = 0.25;
  pool.cached_prefixes_ = 16;
  pool.cost_per_call_ = 20;
  pool.cost_per_token_ = 2;
  return pool;
}

PoolModel Stage(const std::string& name,
                StageKind kind,
                int servers,
                int slots,
                Duration time,
                bool reports_load) {
  PoolModel pool;
  pool.name_ = name;
  pool.kind_ = kind;
  pool.servers_ = servers;
  pool.slots_ = slots;
  pool.call_time_ = time;
  pool.reports_load_ = reports_load;
  pool.cost_per_call_ = 1;
  return pool;
}

StageConfig StageOf(const std::string& pool) {
  StageConfig stage;
  stage.name_ = pool;
  stage.pool_ = pool;
  stage.max_tokens_ = kMaxTokens;
  return stage;
}

ClassConfig ClassOf(const std::string& name,
                    std::optional<Duration> first_token,
                    Duration answer) {
  ClassConfig declared;
  declared.name_ = name;
  declared.first_token_target_ = first_token;
  declared.answer_target_ = answer;
  declared.attainment_ = kAttainment;
  return declared;
}

PipelineConfig PipelineOf(const std::string& name,
                          Duration deadline,
                          const std::vector<std::string>& pools) {
  PipelineConfig pipeline;
  pipeline.name_ = name;
  pipeline.deadline_ = deadline;
  for (const std::string& pool : pools) {
    pipeline.stages_.push_back(StageOf(pool));
  }
  return pipeline;
}

double EngineCapacity(const PoolModel& pool) {
  const double full = 1 + pool.token_time_growth_ * (pool.slots_ - 1);
  const double reading = (1 - kUsualHits) + kUsualHits * pool.hit_part_;
  const double us =
      reading * static_cast<double>(pool.call_time_.count()) +
      kMeanTokens * full * static_cast<double>(pool.token_time_.count());
  return pool.servers_ * pool.slots_ * 1e6 / us;
}

/// Sets the configuration that follows from the pools and classes.
void Complete(Deployment* deployment) {
  ClusterConfig& config = deployment->config_;
  config.version_ = 1;
  for (const PoolModel& model : deployment->pools_) {
    PoolConfig pool;
    pool.name_ = model.name_;
    pool.kind_ = model.kind_;
    pool.reports_load_ = model.reports_load_;
    pool.rejection_means_not_run_ = true;
    pool.cost_per_call_ = model.cost_per_call_;
    pool.cost_per_token_ = model.cost_per_token_;
    for (int i = 0; i < model.servers_; ++i) {
      const std::string id = model.name_ + "-" + std::to_string(i);
      const std::string domain = std::to_string(i % deployment->domains_);
      pool.servers_[id] = {id, "127.0.0.1", 1, domain};
    }
    config.pools_[pool.name_] = std::move(pool);
  }
  for (const Deployment::Share& account : deployment->accounts_) {
    config.accounts_[account.name_].name_ = account.name_;
  }
  deployment->capacity_ =
      EngineCapacity(deployment->pool(kEngines)) / kEnginePart;
}

void AddClass(Deployment* deployment,
              const ClassConfig& declared,
              const std::string& pipeline,
              double part) {
  deployment->config_.classes_[declared.name_] = declared;
  deployment->classes_.push_back({declared.name_, part});
  deployment->pipeline_of_[declared.name_] = pipeline;
}

void AddPipeline(Deployment* deployment, const PipelineConfig& pipeline) {
  deployment->config_.pipelines_[pipeline.name_] = pipeline;
}

std::vector<Deployment::Share> Accounts() {
  return {{"large-1", 0.4},
          {"large-2", 0.24},
          {"small-1", 0.12},
          {"small-2", 0.12},
          {"small-3", 0.12}};
}

}  // namespace

const PoolModel& Deployment::pool(const std::string& name) const {
  return *std::find_if(
      pools_.begin(), pools_.end(),
      [&name](const PoolModel& pool) { return pool.name_ == name; });
}

Deployment MakeQurak() {
  Deployment qurak;
  qurak.name_ = "qurak";
  qurak.gateways_ = 7;
  qurak.domain_distance_ = microseconds(1500);
  qurak.accounts_ = Accounts();
  qurak.pools_ = {
      Engines(12),
      Stage("intake", StageKind::kEncoder, 3, 1, milliseconds(15), true),
      Stage("shop", StageKind::kRetriever, 4, 2, milliseconds(45), false),
      Stage("cutting", StageKind::kReranker, 5, 2, milliseconds(60), true),
      Stage("courier", StageKind::kService, 3, 2, milliseconds(40), true)};
  AddPipeline(&qurak, PipelineOf("answer", seconds(8),
                                 {"intake", "shop", "cutting", kEngines}));
  PipelineConfig order = PipelineOf("order", seconds(2), {"courier"});
  order.non_idempotent_ = true;
  order.stages_.front().non_idempotent_ = true;
  AddPipeline(&qurak, order);
  AddClass(&qurak, ClassOf("chat", seconds(1), seconds(4)), "answer", 0.65);
  AddClass(&qurak, ClassOf("listing", {}, seconds(6)), "answer", 0.3);
  AddClass(&qurak, ClassOf("order", {}, milliseconds(500)), "order", 0.05);
  Complete(&qurak);
  return qurak;
}

Deployment MakeBrazos() {
  Deployment brazos;
  brazos.name_ = "brazos";
  brazos.gateways_ = 6;
  brazos.domain_distance_ = microseconds(500);
  brazos.accounts_ = Accounts();
  brazos.pools_ = {
      Engines(18),
      Stage("portal", StageKind::kEncoder, 4, 1, milliseconds(15), true),
      Stage("billing", StageKind::kRetriever, 4, 3, milliseconds(45), true),
      Stage("enrolment", StageKind::kReranker, 5, 3, milliseconds(60), true),
      Stage("switching", StageKind::kService, 3, 2, milliseconds(40), false)};
  AddPipeline(&brazos,
              PipelineOf("explain", seconds(8),
                         {"portal", "billing", "enrolment", kEngines}));
  AddPipeline(&brazos, PipelineOf("check", seconds(60),
                                  {"portal", "billing", kEngines}));
  PipelineConfig enrol = PipelineOf("enrol", seconds(2), {"switching"});
  enrol.non_idempotent_ = true;
  enrol.stages_.front().non_idempotent_ = true;
  AddPipeline(&brazos, enrol);
  AddClass(&brazos, ClassOf("phone", seconds(1), seconds(4)), "explain", 0.45);
  AddClass(&brazos, ClassOf("letter", {}, seconds(6)), "explain", 0.2);
  AddClass(&brazos, ClassOf("enrol", {}, milliseconds(500)), "enrol", 0.05);
  ClassConfig nightly = ClassOf("nightly", {}, seconds(30));
  nightly.batch_ = true;
  AddClass(&brazos, nightly, "check", 0.3);
  Complete(&brazos);
  return brazos;
}

}  // namespace citronlane
