#include "policy/gateway_model.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/routing/call_priority.h"
#include "citronlane/routing/deadline_split.h"

namespace citronlane {
namespace {

constexpr Duration kSameDomain = std::chrono::microseconds(100);
constexpr double kSplitQuantile = 0.95;
/// Number of tokens by which the cost of a request is estimated.
constexpr double kUsualTokens = 48;

RouterOptions OptionsAt(RouterOptions options, int domain) {
  options.failure_domain_ = std::to_string(domain);
  return options;
}

}  // namespace

GatewayModel::GatewayModel(std::string name,
                           int domain,
                           const Deployment& deployment,
                           const PolicyOptions& options,
                           uint64_t seed,
                           EventQueue* queue,
                           const Backends* backends,
                           RunResult* result)
    : name_(std::move(name)),
      domain_(domain),
      deployment_(deployment),
      options_(options),
      queue_(queue),
      backends_(backends),
      result_(result),
      random_(seed),
      admission_(deployment.config_,
                 options.admission_,
                 [this](uint64_t bound) { return random_() % bound; }) {
  const auto random = [this](uint64_t bound) { return random_() % bound; };
  const RouterOptions router = OptionsAt(options.router_, domain);
  for (const auto& [name, pool] : deployment.config_.pools_) {
    pools_[name] = std::make_unique<PoolPolicy>(pool, router, random);
  }
}

template <typename Change>
void GatewayModel::Count(const RequestRun& run, const Change& change) {
  if (!run.measured_) {
    return;
  }
  change(&result_->by_class_[run.spec_->class_->name_]);
  if (!run.spec_->class_->batch_) {
    change(&result_->by_account_[run.spec_->account_]);
    change(&result_->interactive_);
  }
}

double GatewayModel::InFlightAt(const std::string& server) const {
  const auto found = in_flight_.find(server);
  return found == in_flight_.end() ? 0 : found->second;
}

AdmissionQuery GatewayModel::MakeQuery(const RequestSpec& spec) const {
  AdmissionQuery query;
  query.account_ = spec.account_;
  query.class_name_ = spec.class_->name_;
  query.batch_ = spec.class_->batch_;
  query.target_ = spec.class_->answer_target_;
  query.deadline_ = spec.pipeline_->deadline_;
  query.first_token_target_ = spec.class_->first_token_target_;
  Duration sum{};
  Duration longest{};
  bool known = true;
  for (const StageConfig& stage : spec.pipeline_->stages_) {
    const PoolPolicy& pool = *pools_.at(stage.pool_);
    CallShape shape;
    shape.priority_ = PriorityOf(spec);
    const bool stream = pool.config_.kind_ == StageKind::kEngine;
    shape.expected_tokens_ = stream ? spec.max_tokens_ : 0;
    query.pool_down_ = query.pool_down_ || pool.router_.IsDown(queue_->now());
    query.pool_empty_ =
        query.pool_empty_ || pool.router_.usable_servers(queue_->now()) == 0;
    query.expected_cost_ +=
        pool.config_.cost_per_call_ +
        (stream ? kUsualTokens : 0) * pool.config_.cost_per_token_;
    const auto first = pool.router_.ExpectedFirstByte(queue_->now(), shape);
    const auto expected = pool.router_.ExpectedFinish(queue_->now(), shape);
    known = known && expected && first;
    if (!known) {
      query.bottleneck_pool_ = stage.pool_;
      query.pool_in_flight_ = pool.router_.in_flight() + pool.router_.planned();
      continue;
    }
    if (stream) {
      query.expected_first_token_ = sum + *first;
    }
    sum += *expected;
    if (*expected >= longest) {
      longest = *expected;
      query.bottleneck_pool_ = stage.pool_;
      query.pool_in_flight_ = pool.router_.in_flight() + pool.router_.planned();
      query.pool_servers_ = pool.router_.usable_servers(queue_->now());
    }
  }
  if (known) {
    query.expected_finish_ = sum;
  } else {
    query.expected_first_token_.reset();
  }
  return query;
}

void GatewayModel::Arrive(const RequestSpec& spec, bool measured) {
  const auto run = std::make_shared<RequestRun>();
  run->spec_ = &spec;
  run->measured_ = measured;
  run->query_ = MakeQuery(spec);
  Count(*run, [](Tally* tally) { ++tally->offered_; });
  if (!options_.admits_all_) {
    if (const auto refusal = admission_.Admit(queue_->now(), run->query_)) {
      if (measured) {
        ++result_->refusals_[std::string(ToString(refusal->reason_))];
      }
      return;
    }
  }
  Count(*run, [](Tally* tally) { ++tally->admitted_; });
  runs_.insert(run);
  Plan(*run, run->stage_ + 1, 1);
  queue_->After(spec.pipeline_->deadline_, [this, run] {
    if (!run->over_) {
      CancelOthers(run, nullptr);
      Finish(run, false, "deadline_exceeded");
    }
  });
  BeginStage(run);
}

void GatewayModel::Lose() {
  alive_ = false;
  const std::set<RunPtr> runs = runs_;
  for (const RunPtr& run : runs) {
    CancelOthers(run, nullptr);
    Finish(run, false, "gateway_lost");
  }
}

PoolPolicy& GatewayModel::PoolOf(const RequestRun& run) {
  return *pools_.at(run.spec_->pipeline_->stages_[run.stage_].pool_);
}

uint32_t GatewayModel::PriorityOf(const RequestSpec& spec) const {
  return options_.priorities_ ? CallPriority(*spec.class_) : 0;
}

CallShape GatewayModel::ShapeOf(const RequestRun& run) const {
  const StageConfig& stage = run.spec_->pipeline_->stages_[run.stage_];
  CallShape shape;
  shape.batch_ = run.spec_->class_->batch_;
  shape.priority_ = PriorityOf(*run.spec_);
  if (pools_.at(stage.pool_)->config_.kind_ == StageKind::kEngine) {
    shape.prefix_hash_ = run.spec_->prefix_;
    shape.expected_tokens_ =
        run.spec_->max_tokens_ - std::min(run.tokens_done_, run.spec_->tokens_);
  }
  return shape;
}

Duration GatewayModel::Distance(const ServerModel& server) const {
  return server.domain() == domain_ ? kSameDomain
                                    : deployment_.domain_distance_;
}

Duration GatewayModel::TimeLeft(const RequestRun& run) const {
  return run.spec_->arrival_ + run.spec_->pipeline_->deadline_ - queue_->now();
}

Duration GatewayModel::TargetLeft(const RequestRun& run) const {
  return run.spec_->arrival_ + run.spec_->class_->answer_target_ -
         queue_->now();
}

StageTime GatewayModel::TimeOfStage(const RequestRun& run) {
  std::vector<Duration> learned;
  const auto& stages = run.spec_->pipeline_->stages_;
  for (size_t i = run.stage_; i < stages.size(); ++i) {
    const PoolRouter& router = pools_.at(stages[i].pool_)->router_;
    learned.push_back(
        router.LatencyQuantile(kSplitQuantile).value_or(Duration::zero()));
  }
  const Duration target = TargetLeft(run);
  return SplitDeadline(target > Duration::zero() ? target : TimeLeft(run),
                       learned);
}

void GatewayModel::Plan(const RequestRun& run, size_t stage, int calls) {
  const auto& stages = run.spec_->pipeline_->stages_;
  for (size_t i = stage; i < stages.size(); ++i) {
    pools_.at(stages[i].pool_)->router_.OnPlanned(calls);
  }
}

void GatewayModel::BeginStage(const RunPtr& run) {
  run->tried_.clear();
  PoolPolicy& pool = PoolOf(*run);
  pool.hedge_.OnFirstCall();
  pool.retry_.OnFirstCall();
  ++result_->first_calls_;
  if (!Launch(run, false)) {
    Finish(run, false, "no_backend_server");
  }
}

void GatewayModel::OnStageDone(const RunPtr& run) {
  run->attempts_.clear();
  if (run->stage_ + 1 == run->spec_->pipeline_->stages_.size()) {
    Finish(run, true, "");
    return;
  }
  ++run->stage_;
  PoolOf(*run).router_.OnPlanned(-1);
  BeginStage(run);
}

bool GatewayModel::TryAgain(const RunPtr& run, CallOutcome outcome) {
  PoolPolicy& pool = PoolOf(*run);
  RetryQuery query;
  query.outcome_ = outcome;
  query.non_idempotent_ =
      run->spec_->pipeline_->stages_[run->stage_].non_idempotent_;
  query.rejection_means_not_run_ = pool.config_.rejection_means_not_run_;
  query.attempts_ = static_cast<uint32_t>(run->tried_.size());
  query.remaining_ = TimeLeft(*run);
  query.expected_ =
      pool.router_.ExpectedFirstByte(queue_->now(), ShapeOf(*run));
  const RetryDecision decision = pool.retry_.Decide(query);
  ++result_->retries_[std::string(ToString(decision.outcome_))];
  if (!IsRetry(decision.outcome_)) {
    return false;
  }
  ++result_->retry_calls_;
  queue_->After(decision.backoff_, [this, run, stage = run->stage_] {
    if (!run->over_ && run->stage_ == stage && alive_ && !Launch(run, false)) {
      OnFailure(run, CallOutcome::kCancelled);
    }
  });
  return true;
}

void GatewayModel::OnFailure(const RunPtr& run, CallOutcome outcome) {
  const bool others =
      std::any_of(run->attempts_.begin(), run->attempts_.end(),
                  [](const AttemptPtr& attempt) { return !attempt->over_; });
  if (others) {
    return;
  }
  const bool stream_lost = run->first_token_ && !options_.continue_streams_;
  if (stream_lost || !TryAgain(run, outcome)) {
    Finish(run, false, stream_lost ? "stream_broken" : "stage_failed");
  }
}

void GatewayModel::Finish(const RunPtr& run,
                          bool answered,
                          const std::string& failure) {
  if (run->over_) {
    return;
  }
  run->over_ = true;
  Plan(*run, run->stage_ + 1, -1);
  run->attempts_.clear();
  runs_.erase(run);
  const ClassConfig& declared = *run->spec_->class_;
  bool met = answered && TargetLeft(*run) >= Duration::zero();
  if (met && declared.first_token_target_) {
    met = run->first_token_ && *run->first_token_ - run->spec_->arrival_ <=
                                   *declared.first_token_target_;
  }
  if (!options_.admits_all_) {
    admission_.OnFinish(queue_->now(), run->query_, run->cost_, met);
  }
  if (run->measured_ && !answered) {
    ++result_->failures_[failure];
  }
  if (met) {
    result_->useful_engine_time_ += run->engine_time_;
  }
  Count(*run, [met, answered](Tally* tally) {
    tally->met_ += met ? 1 : 0;
    tally->failed_ += answered ? 0 : 1;
  });
}

}  // namespace citronlane
