#include "citronlane/gateway/request_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <xxhash.h>
#include <boost/asio/io_context.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/crash_guard.h"
#include "citronlane/gateway/detail/in_flight_call.h"
#include "citronlane/gateway/driver_context.h"
#include "citronlane/gateway/pool_shards.h"
#include "citronlane/transport/stage_adapter.h"
#include "citronlane/transport/stage_client.h"

namespace citronlane {
namespace {

constexpr size_t kMaxEventBytes = size_t{64} * 1024;
constexpr double kMedian = 0.5;

int64_t Milliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::vector<std::shared_ptr<PoolShard>> FindPools(
    const PoolShards& pools,
    const std::vector<StageConfig>& stages) {
  std::vector<std::shared_ptr<PoolShard>> found;
  found.reserve(stages.size());
  for (const StageConfig& stage : stages) {
    found.push_back(pools.Find(stage.pool_));
  }
  return found;
}

}  // namespace

RequestDriver::RequestDriver(const DriverContext* context, DriverJob job)
    : context_(context),
      job_(std::move(job)),
      pools_(FindPools(*context_->pools_, job_.stages_)),
      request_(job_.plan_,
               RequestHooks{[this](uint32_t stage) { return TakeHedge(stage); },
                            [this](uint32_t stage, RetryReason reason) {
                              return TakeRetry(stage, reason);
                            }}),
      deadline_timer_(*context_->io_) {}

RequestDriver::~RequestDriver() {
  ReleasePlannedCalls(planned_.size());
}

void RequestDriver::RegisterPlannedCalls() {
  planned_ = pools_;
  for (const auto& pool : planned_) {
    if (pool != nullptr) {
      pool->OnPlanned(1);
    }
  }
}

void RequestDriver::ReleasePlannedCalls(size_t end) {
  for (size_t stage = 0; stage < std::min(end, planned_.size()); ++stage) {
    if (const auto pool = std::exchange(planned_[stage], nullptr)) {
      pool->OnPlanned(-1);
    }
  }
}

bool RequestDriver::TakeHedge(uint32_t stage) {
  const auto& pool = pools_[stage];
  return pool != nullptr && job_.may_hedge_() &&
         pool->TakeHedge(MakeHedgeQuery(*pool));
}

bool RequestDriver::TakeRetry(uint32_t stage, RetryReason reason) {
  const auto& pool = pools_[stage];
  // Resuming a stream causes no additional work, so it needs no budget.
  const bool taken =
      pool != nullptr &&
      (reason == RetryReason::kStreamResumed || pool->TakeRetry());
  if (taken) {
    context_->on_retry_(job_.stages_[stage].pool_, reason);
  }
  return taken;
}

HedgeQuery RequestDriver::MakeHedgeQuery(const PoolShard& pool) const {
  HedgeQuery query;
  query.batch_ = job_.input_.batch_;
  if (in_flight_calls_.empty()) {
    return query;
  }
  const detail::InFlightCall& slow = *in_flight_calls_.front();
  const TimePoint now = SteadyNow();
  query.elapsed_ = now - slow.started_;
  // The hedge timer that caused this call has just expired after the delay.
  query.delay_ = query.elapsed_;
  query.expected_ = pool.Estimate(now, slow.shape_).first_byte_;
  query.remaining_ = slow.deadline_ - now;
  return query;
}

void RequestDriver::Start() {
  deadline_timer_.expires_at(job_.plan_.deadline_);
  deadline_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->request_.OnDeadline();
          self->Pump();
        }
      });
  RegisterPlannedCalls();
  request_.Start(SteadyNow());
  Pump();
}

void RequestDriver::CallerGone() {
  request_.OnCallerGone();
  Pump();
}

std::vector<StageCost> RequestDriver::Costs() const {
  std::vector<StageCost> costs;
  for (uint32_t stage = 0; stage < job_.stages_.size(); ++stage) {
    const PoolConfig& pool = PoolOf(stage);
    StageCost cost;
    cost.stage_ = job_.stages_[stage].name_;
    cost.calls_ = request_.sent_calls(stage);
    cost.tokens_ = request_.stage_tokens(stage);
    cost.time_ = StageTime(stage);
    cost.cost_ = cost.calls_ * pool.cost_per_call_ +
                 static_cast<double>(cost.tokens_) * pool.cost_per_token_;
    costs.push_back(std::move(cost));
  }
  return costs;
}

std::optional<Duration> RequestDriver::StageTime(uint32_t stage) const {
  if (stage >= stage_starts_.size()) {
    return std::nullopt;
  }
  const bool over = stage + 1 < stage_starts_.size();
  return (over ? stage_starts_[stage + 1] : SteadyNow()) - stage_starts_[stage];
}

void RequestDriver::Pump() {
  if (pumping_) {
    return;
  }
  pumping_ = true;
  for (auto commands = request_.TakeCommands(); !commands.empty();
       commands = request_.TakeCommands()) {
    for (const RequestCommand& command : commands) {
      std::visit([this](const auto& known) { Execute(known); }, command);
    }
  }
  pumping_ = false;
}

void RequestDriver::Execute(const StartCall& command) {
  if (request_.finished()) {
    return;
  }
  if (context_->crashes_->IsBlocked(job_.body_bytes_, job_.fingerprint_)) {
    request_.OnBlocked(command.attempt_);
    return;
  }
  if (command.attempt_.stage_ == stage_starts_.size()) {
    stage_starts_.push_back(SteadyNow());
    ReleasePlannedCalls(command.attempt_.stage_ + 1);
  }
  const InFlightCallPtr call = Place(command);
  if (call == nullptr) {
    request_.OnNoServer(command.attempt_, SteadyNow());
    return;
  }
  request_.OnPlaced(command.attempt_, call->server_.id_);
  Launch(call, command);
}

void RequestDriver::Execute(const CancelCall& command) {
  if (const InFlightCallPtr call = FindCall(command.attempt_)) {
    call->stage_call_->Cancel();
    CompleteCall(call, CallOutcome::kCancelled);
  }
}

void RequestDriver::Execute(const ArmHedge& command) {
  const InFlightCallPtr call = FindCall(command.attempt_);
  if (call == nullptr) {
    return;
  }
  const auto delay = call->pool_->HedgeDelay(call->shape_);
  if (!delay) {
    return;
  }
  call->hedge_timer_.expires_at(call->started_ + *delay);
  call->hedge_timer_.async_wait(
      [self = shared_from_this(),
       id = command.attempt_](const boost::system::error_code& error) {
        if (!error) {
          self->request_.OnHedgeTime(id, SteadyNow());
          self->Pump();
        }
      });
}

void RequestDriver::Execute(const EmitText& command) {
  if (!first_text_) {
    first_text_ = SteadyNow();
  }
  if (job_.on_text_) {
    job_.on_text_(command);
  }
}

void RequestDriver::Execute(const FinishRequest& command) {
  deadline_timer_.cancel();
  ReleasePlannedCalls(planned_.size());
  job_.on_finish_(command);
}

RequestDriver::InFlightCallPtr RequestDriver::Place(const StartCall& command) {
  const uint32_t stage = command.attempt_.stage_;
  const StageConfig& config = job_.stages_[stage];
  auto call = std::make_shared<detail::InFlightCall>(context_->io_);
  call->id_ = command.attempt_;
  call->hedge_ = command.hedge_;
  call->pool_name_ = config.pool_;
  call->pool_ = pools_[stage];
  if (call->pool_ == nullptr) {
    return nullptr;
  }
  call->shape_.batch_ = job_.input_.batch_;
  call->shape_.priority_ = job_.input_.priority_;
  if (job_.plan_.stages_[stage].streams_) {
    call->shape_.expected_tokens_ = config.max_tokens_;
    call->shape_.prefix_hash_ = PrefixHash();
  }
  call->started_ = SteadyNow();
  call->deadline_ = AttemptDeadline(stage);
  const auto server =
      command.mode_ == CallMode::kResume
          ? call->pool_->PlaceOn(command.server_, call->started_, call->shape_)
          : call->pool_->Place(call->started_, call->shape_, command.excluded_,
                               !command.hedge_);
  if (!server) {
    return nullptr;
  }
  call->server_ = *server;
  return call;
}

void RequestDriver::Launch(const InFlightCallPtr& call,
                           const StartCall& command) {
  const auto self = shared_from_this();
  StageCallHooks hooks;
  hooks.sending_ = [self, call] { return self->request_.OnSending(call->id_); };
  hooks.head_ = [self, call](const StageReplyHead& head) {
    return self->OnHead(call, head);
  };
  hooks.done_ = [self, call](CallOutcome outcome, std::string body) {
    self->OnDone(call, outcome, std::move(body));
  };
  StageCallSpec spec = MakeSpec(*call, command);
  if (spec.streams_) {
    hooks.data_ = [self, call](std::string_view fragment) {
      self->OnData(call, fragment);
    };
    call->reader_ = std::make_unique<StageTokenReader>(
        kMaxEventBytes, [this, raw = std::weak_ptr<detail::InFlightCall>(call)](
                            const Token& token) {
          const InFlightCallPtr alive = raw.lock();
          return alive != nullptr && OnToken(alive, token);
        });
  }
  in_flight_calls_.push_back(call);
  call->stage_call_ =
      context_->client_->Start(std::move(spec), std::move(hooks));
}

uint64_t RequestDriver::PrefixHash() const {
  // The engine's prompt begins with the documents, in their order.
  std::string prefix;
  if (request_.output().documents_) {
    for (const Document& document : *request_.output().documents_) {
      prefix.append(document.id_).append("\n");
    }
  }
  return prefix.empty() ? 0 : XXH3_64bits(prefix.data(), prefix.size());
}

StageCallSpec RequestDriver::MakeSpec(const detail::InFlightCall& call,
                                      const StartCall& command) const {
  const uint32_t stage = command.attempt_.stage_;
  StageCallSpec spec;
  spec.address_ = call.server_.address_;
  spec.port_ = call.server_.port_;
  spec.fresh_connection_ = job_.plan_.stages_[stage].non_idempotent_;
  spec.streams_ = job_.plan_.stages_[stage].streams_;
  spec.deadline_ = call.deadline_;
  if (spec.streams_) {
    spec.silence_limit_ = call.pool_->StreamStallTimeout();
    spec.replies_immediately_ = command.mode_ == CallMode::kResume;
  }
  const auto left = std::max(Duration(0), call.deadline_ - call.started_);
  spec.attempt_id_ = command.attempt_.ToHeader();
  spec.headers_ = {{"X-Attempt-Id", spec.attempt_id_},
                   {"X-Deadline-Ms", std::to_string(Milliseconds(left))}};
  if (job_.service_call_) {
    FillServiceCall(&spec);
    return spec;
  }
  const StageAdapter adapter(PoolOf(stage).kind_);
  spec.target_ = std::string(adapter.Target());
  spec.headers_.push_back({"Content-Type", "application/json"});
  spec.body_ =
      adapter.WriteCall({&job_.stages_[stage], &job_.input_, &request_.output(),
                         &command, request_.text()});
  return spec;
}

void RequestDriver::FillServiceCall(StageCallSpec* spec) const {
  const HttpRequest& call = *job_.service_call_;
  spec->method_ = call.method_;
  spec->target_ = call.target_;
  spec->body_ = call.body_;
  for (const char* name : {"Content-Type", "Accept", "Accept-Language",
                           "Idempotency-Key", "If-None-Match"}) {
    const std::string_view value = call.Header(name);
    if (!value.empty()) {
      spec->headers_.push_back({name, std::string(value)});
    }
  }
}

TimePoint RequestDriver::AttemptDeadline(uint32_t stage) const {
  const TimePoint now = SteadyNow();
  const Duration left = job_.plan_.deadline_ - now;
  Duration later{};
  for (size_t next = stage + 1; next < job_.stages_.size(); ++next) {
    const auto& pool = pools_[next];
    const auto median =
        pool == nullptr ? std::nullopt : pool->LatencyQuantile(kMedian);
    later += median.value_or(Duration(0));
  }
  // The median time of the later stages is reserved for them, up to half of the
  // time left.
  return now + left - std::min(later, left / 2);
}

const PoolConfig& RequestDriver::PoolOf(uint32_t stage) const {
  return job_.config_->pools_.at(job_.stages_[stage].pool_);
}

}  // namespace citronlane
