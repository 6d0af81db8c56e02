#include "citronlane/gateway/admission_estimate.h"

#include <algorithm>

#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/caller_request.h"
#include "citronlane/gateway/pool_shards.h"

namespace citronlane {
namespace {

/// Sums up the expected times of the stages; unknown once one of them is.
class StageTimeSum {
 public:
  void Add(const std::optional<Duration>& first,
           const std::optional<Duration>& finish) {
    known_ = known_ && finish.has_value();
    first_ += first.value_or(Duration(0));
    finish_ += finish.value_or(Duration(0));
  }

  std::optional<Duration> first() const {
    return known_ ? std::optional(first_) : std::nullopt;
  }
  std::optional<Duration> finish() const {
    return known_ ? std::optional(finish_) : std::nullopt;
  }

 private:
  bool known_ = true;
  Duration first_{};
  Duration finish_{};
};

uint32_t ExpectedTokens(const CallerRequest& request,
                        const StageConfig& stage) {
  const uint32_t bound = request.input_.max_tokens_;
  return bound == 0 ? stage.max_tokens_ : std::min(bound, stage.max_tokens_);
}

}  // namespace

AdmissionQuery EstimateForAdmission(const CallerRequest& request,
                                    const PoolShards& pools,
                                    TimePoint now) {
  AdmissionQuery query;
  query.account_ = request.account_->name_;
  query.class_name_ = request.class_->name_;
  query.batch_ = request.class_->batch_;
  query.target_ = request.class_->answer_target_;
  query.first_token_target_ = request.class_->first_token_target_;
  query.deadline_ = request.deadline_;

  StageTimeSum sums;
  Duration longest{-1};
  for (const StageConfig& stage : request.stages_) {
    const PoolConfig& config = request.config_->pools_.at(stage.pool_);
    const std::shared_ptr<PoolShard> pool = pools.Find(stage.pool_);
    if (pool == nullptr) {
      continue;
    }
    const bool engine = config.kind_ == StageKind::kEngine;
    CallShape shape;
    shape.batch_ = query.batch_;
    shape.priority_ = request.input_.priority_;
    shape.expected_tokens_ = engine ? ExpectedTokens(request, stage) : 0;
    const PoolEstimate estimate = pool->Estimate(now, shape);
    query.pool_down_ = query.pool_down_ || estimate.down_;
    query.pool_empty_ = query.pool_empty_ || estimate.usable_servers_ == 0;
    sums.Add(engine ? estimate.first_byte_ : estimate.finish_,
             estimate.finish_);
    query.expected_cost_ +=
        config.cost_per_call_ + shape.expected_tokens_ * config.cost_per_token_;
    if (estimate.finish_.value_or(Duration(0)) > longest) {
      longest = estimate.finish_.value_or(Duration(0));
      query.bottleneck_pool_ = stage.pool_;
      query.pool_in_flight_ = estimate.in_flight_;
      query.pool_servers_ = estimate.usable_servers_;
    }
  }
  query.expected_first_token_ = sums.first();
  query.expected_finish_ = sums.finish();
  return query;
}

}  // namespace citronlane
