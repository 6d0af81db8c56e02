#include "citronlane/control/detail/order_dispatcher.h"

#include <cmath>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"

namespace citronlane {
namespace {

constexpr size_t kMaxOpenOrders = 16;
constexpr uint32_t kMaxAttempts = 5;
constexpr double kMsPerSecond = 1000;

OrderGateOptions GateOptions(const ControlOptions& options) {
  OrderGateOptions gate;
  gate.leader_lease_ = options.replica_.raft_.leader_lease_;
  return gate;
}

wire::StartOrder LimitsOf(const ControlOptions& options) {
  wire::StartOrder limits;
  const bool any = options.weight_store_rate_ > 0;
  limits.set_interval_ms(any ? static_cast<uint64_t>(std::ceil(
                                   kMsPerSecond / options.weight_store_rate_))
                             : 1);
  limits.set_burst(any ? options.weight_store_burst_ : 0);
  return limits;
}

const char* KindName(wire::EngineOrder::Kind kind) {
  switch (kind) {
    case wire::EngineOrder::LOAD_ADAPTER:
      return "load_adapter";
    case wire::EngineOrder::CHANGE_ROLE:
      return "change_role";
    default:
      return "load_model";
  }
}

std::string BodyOf(const wire::EngineOrder& order) {
  JsonValue body = JsonValue::Object();
  body.Set("fencing",
           JsonValue::Number(static_cast<double>(order.fencing_number())));
  body.Set("order_id", JsonValue::String(order.order_id()));
  body.Set("kind", JsonValue::String(KindName(order.kind())));
  const auto set = [&body](const char* name, const std::string& value) {
    if (!value.empty()) {
      body.Set(name, JsonValue::String(value));
    }
  };
  set("model", order.model());
  set("version", order.version());
  set("adapter", order.adapter());
  set("role", order.role());
  return WriteJson(body);
}

const PoolConfig* PoolOf(const ClusterConfig& config,
                         const std::string& server) {
  for (const auto& [name, pool] : config.pools_) {
    if (pool.servers_.count(server) > 0) {
      return &pool;
    }
  }
  return nullptr;
}

}  // namespace

OrderDispatcher::OrderDispatcher(const ControlOptions& options,
                                 ControlState* state,
                                 CommandProposer* proposer,
                                 LeaseHook has_lease)
    : options_(options),
      state_(state),
      proposer_(proposer),
      has_lease_(std::move(has_lease)),
      gate_(GateOptions(options)) {}

void OrderDispatcher::OnLeadershipGained(uint64_t number, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gate_.OnLeadershipGained(number, now);
}

void OrderDispatcher::OnLeadershipLost() {
  const std::lock_guard<std::mutex> lock(mutex_);
  gate_.OnLeadershipLost();
}

void OrderDispatcher::Work() {
  std::optional<wire::EngineOrder> order = ChooseNext();
  if (!order) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.insert(order->order_id());
    order->set_fencing_number(gate_.number());
  }
  wire::StateCommand command;
  *command.mutable_start_order() = LimitsOf(options_);
  command.mutable_start_order()->set_order_id(order->order_id());
  command.mutable_start_order()->set_fencing_number(order->fencing_number());
  const TimePoint proposed = SteadyNow();
  proposer_->Propose(std::move(command),
                     [this, order = *std::move(order), proposed](
                         const std::optional<wire::StateResult>& result,
                         const Error& /*error*/) {
                       if (result && result->done()) {
                         Send(order, proposed);
                       } else {
                         Close(order.order_id());
                       }
                     });
}

void OrderDispatcher::Stop() {
  sender_.Stop();
}

std::optional<wire::EngineOrder> OrderDispatcher::ChooseNext() {
  const std::optional<uint64_t> time_ms = proposer_->TimeMs();
  uint64_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    number = open_.size() < kMaxOpenOrders ? gate_.number() : 0;
  }
  std::optional<wire::EngineOrder> next;
  if (!time_ms || number == 0) {
    return next;
  }
  state_->View([&](const StateMachine& state) {
    const wire::EngineOrder* order =
        state.orders().Next(*time_ms, number, LimitsOf(options_),
                            [this](const wire::EngineOrder& candidate) {
                              return MayPropose(candidate);
                            });
    if (order != nullptr) {
      next = *order;
    }
  });
  return next;
}

// Runs under the state's lock, so it must not call the state.
bool OrderDispatcher::MayPropose(const wire::EngineOrder& order) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return open_.count(order.order_id()) == 0 &&
         gate_.MayPropose(order.checks_fencing(), SteadyNow());
}

void OrderDispatcher::Send(const wire::EngineOrder& order, TimePoint proposed) {
  const auto config = state_->config();
  const PoolConfig* pool = PoolOf(*config, order.server());
  std::optional<TimePoint> until;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    until = gate_.SendUntil(order.fencing_number(), proposed, SteadyNow(),
                            has_lease_());
  }
  // The configuration of the engine may have changed since the submission, to
  // one that does not check fencing numbers.
  const bool fits =
      pool != nullptr && (pool->checks_fencing_ || !order.checks_fencing());
  if (!fits || !until) {
    Finish(order, fits ? OrderSender::Outcome::kFailed
                       : OrderSender::Outcome::kRefused);
    return;
  }
  const ServerConfig& server = pool->servers_.at(order.server());
  sender_.Send(
      server.address_, server.port_, BodyOf(order), *until,
      [this, order](OrderSender::Outcome outcome) { Finish(order, outcome); });
}

void OrderDispatcher::Finish(const wire::EngineOrder& order,
                             OrderSender::Outcome outcome) {
  wire::StateCommand command;
  wire::FinishOrder* finish = command.mutable_finish_order();
  finish->set_order_id(order.order_id());
  finish->set_fencing_number(order.fencing_number());
  finish->set_done(outcome == OrderSender::Outcome::kDone);
  finish->set_retry(outcome == OrderSender::Outcome::kFailed &&
                    order.attempts() + 1 < kMaxAttempts);
  if (!finish->done()) {
    finish->set_error(outcome == OrderSender::Outcome::kRefused
                          ? "The engine refused the order."
                          : "The engine did not answer in time.");
  }
  proposer_->Propose(std::move(command),
                     [this, id = order.order_id()](
                         const std::optional<wire::StateResult>& /*result*/,
                         const Error& /*error*/) { Close(id); });
}

void OrderDispatcher::Close(const std::string& order_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(order_id);
}

}  // namespace citronlane
