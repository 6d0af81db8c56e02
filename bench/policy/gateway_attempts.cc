#include "policy/gateway_model.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

}  // namespace

GatewayModel::AttemptPtr GatewayModel::Launch(const RunPtr& run, bool hedge) {
  PoolPolicy& pool = PoolOf(*run);
  const CallShape shape = ShapeOf(*run);
  Error error;
  const auto choice =
      pool.router_.Choose(queue_->now(), shape, run->tried_, &error);
  if (!choice) {
    return nullptr;
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->server_ = backends_->at(choice->server_).get();
  attempt->shape_ = shape;
  attempt->start_ = queue_->now();
  attempt->hedge_ = hedge;
  attempt->call_ = std::make_shared<BackendCall>();
  run->attempts_.push_back(attempt);
  run->tried_.push_back(choice->server_);
  ++run->calls_;
  ++in_flight_[choice->server_];
  pool.router_.OnStart(choice->server_, queue_->now(), shape);
  Submit(run, attempt);
  SetTimers(run, attempt);
  return attempt;
}

void GatewayModel::Submit(const RunPtr& run, const AttemptPtr& attempt) {
  BackendCall& call = *attempt->call_;
  const Duration distance = Distance(*attempt->server_);
  call.work_ = run->spec_->work_[run->stage_];
  call.priority_ = attempt->shape_.priority_;
  call.prefix_ = attempt->shape_.prefix_hash_;
  if (attempt->shape_.expected_tokens_ > 0) {
    call.tokens_ =
        std::max(1U, run->spec_->tokens_ -
                         std::min(run->tokens_done_, run->spec_->tokens_));
  }
  // The hooks hold the attempt weakly, since it owns the call that has them.
  const std::weak_ptr<Attempt> weak = attempt;
  const auto later = [this, run, weak, distance](auto action) {
    queue_->After(distance, [this, run, weak, action] {
      const AttemptPtr attempt = weak.lock();
      if (attempt && !attempt->over_) {
        action(attempt);
      }
    });
  };
  call.on_first_byte_ = [this, run, later] {
    later([this, run](const AttemptPtr& a) { OnFirstByte(run, a); });
  };
  call.on_done_ = [this, run, later](CallOutcome outcome) {
    later([this, run, outcome](const AttemptPtr& a) {
      OnReply(run, a, outcome);
    });
  };
  call.on_frozen_ = [this, run, later] {
    later([this, run](const AttemptPtr& a) { OnFrozen(run, a); });
  };
  queue_->After(distance, [this, run, attempt] {
    if (attempt->over_) {
      return;
    }
    attempt->server_->Submit(attempt->call_);
    if (attempt->server_->silent()) {
      queue_->After(kConnectTimeout, [this, run, attempt] {
        if (!attempt->over_) {
          OnReply(run, attempt, CallOutcome::kConnectFailed);
        }
      });
    }
  });
}

void GatewayModel::SetTimers(const RunPtr& run, const AttemptPtr& attempt) {
  PoolPolicy& pool = PoolOf(*run);
  const auto delay = pool.router_.HedgeDelay(attempt->shape_);
  if (options_.hedge_ && delay && !attempt->hedge_) {
    queue_->After(*delay, [this, run, attempt] { OnHedgeTimer(run, attempt); });
  }
  if (!options_.deadline_split_ || attempt->shape_.expected_tokens_ > 0) {
    return;
  }
  queue_->After(TimeOfStage(*run).share_,
                [this, run, attempt] { OnShareTimer(run, attempt); });
}

void GatewayModel::OnHedgeTimer(const RunPtr& run, const AttemptPtr& attempt) {
  if (attempt->over_ || attempt->first_byte_ || !alive_) {
    return;
  }
  PoolPolicy& pool = PoolOf(*run);
  const TimePoint now = queue_->now();
  HedgeQuery query;
  query.non_idempotent_ =
      run->spec_->pipeline_->stages_[run->stage_].non_idempotent_;
  query.batch_ = attempt->shape_.batch_;
  query.elapsed_ = now - attempt->start_;
  query.delay_ = query.elapsed_;
  query.expected_ = pool.router_.ExpectedFirstByte(now, attempt->shape_);
  query.remaining_ = TimeLeft(*run);
  query.pressure_ = admission_.Pressure(now, pool.config_.name_);
  query.spend_tight_ = admission_.SpendIsTight(now, run->query_.class_name_);
  const HedgeOutcome outcome = pool.hedge_.Decide(query);
  ++result_->hedges_[std::string(ToString(outcome))];
  if (outcome == HedgeOutcome::kHedged && Launch(run, true)) {
    ++result_->hedge_calls_;
  }
}

void GatewayModel::OnShareTimer(const RunPtr& run, const AttemptPtr& attempt) {
  if (attempt->over_ || !alive_ || !TryAgain(run, CallOutcome::kTimeout)) {
    return;
  }
  Close(run, attempt, CallOutcome::kTimeout);
}

void GatewayModel::OnFirstByte(const RunPtr& run, const AttemptPtr& attempt) {
  attempt->first_byte_ = true;
  PoolOf(*run).router_.OnFirstByte(attempt->server_->id(), queue_->now(),
                                   queue_->now() - attempt->start_);
  if (!run->first_token_) {
    run->first_token_ = queue_->now();
  }
  CancelOthers(run, attempt);
}

void GatewayModel::OnFrozen(const RunPtr& run, const AttemptPtr& attempt) {
  const auto stall = PoolOf(*run).router_.StreamStallTimeout();
  if (!options_.continue_streams_ || !attempt->first_byte_ || !stall) {
    return;
  }
  const uint32_t done = attempt->call_->TokensAt(queue_->now());
  queue_->After(*stall, [this, run, attempt, done] {
    if (attempt->over_ || !alive_) {
      return;
    }
    run->tokens_done_ += done;
    Close(run, attempt, CallOutcome::kTimeout);
    OnFailure(run, CallOutcome::kTimeout);
  });
}

void GatewayModel::Close(const RunPtr& run,
                         const AttemptPtr& attempt,
                         CallOutcome outcome) {
  attempt->over_ = true;
  PoolPolicy& pool = PoolOf(*run);
  const TimePoint now = queue_->now();
  const uint32_t tokens = attempt->call_->TokensAt(now);
  const std::string& server = attempt->server_->id();
  const Duration latency = now - attempt->start_;
  --in_flight_[server];
  pool.router_.OnFinish(server, now, outcome, latency, tokens, attempt->shape_);
  const double cost =
      pool.config_.cost_per_call_ + tokens * pool.config_.cost_per_token_;
  run->cost_ += cost;
  result_->cost_by_stage_[pool.config_.name_] += cost;
  attempt->cost_ = cost;
  if (attempt->shape_.expected_tokens_ > 0 &&
      attempt->call_->state_ != BackendCall::State::kQueued) {
    const TimePoint from = std::max(attempt->call_->began_, window_from_);
    const TimePoint to = std::min(now, window_to_);
    run->engine_time_ += std::max(Duration::zero(), to - from);
  }
  attempt->server_->Cancel(attempt->call_);
}

void GatewayModel::CancelOthers(const RunPtr& run, const AttemptPtr& kept) {
  for (const AttemptPtr& attempt : run->attempts_) {
    if (attempt != kept && !attempt->over_) {
      Close(run, attempt, CallOutcome::kCancelled);
      // When another attempt is kept, the cost of this one is that of hedging.
      result_->hedge_cost_ += kept ? attempt->cost_ : 0;
    }
  }
}

void GatewayModel::OnReply(const RunPtr& run,
                           const AttemptPtr& attempt,
                           CallOutcome outcome) {
  PoolPolicy& pool = PoolOf(*run);
  const ServerModel& server = *attempt->server_;
  if (pool.config_.reports_load_ && server.up()) {
    pool.router_.OnLoadReport(server.id(), queue_->now(),
                              queue_->now() - server.published_at(),
                              static_cast<double>(server.published_load()));
  }
  const uint32_t tokens = attempt->call_->TokensAt(queue_->now());
  Close(run, attempt, outcome);
  if (outcome == CallOutcome::kSuccess) {
    CancelOthers(run, attempt);
    OnStageDone(run);
    return;
  }
  if (attempt->first_byte_) {
    run->tokens_done_ += tokens;
  }
  OnFailure(run, outcome);
}

}  // namespace citronlane
