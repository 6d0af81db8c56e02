#include "citronlane/orders/order_book.h"

#include <algorithm>

namespace citronlane {
namespace {

bool IsFinished(const wire::EngineOrder& order) {
  return order.phase() == wire::EngineOrder::DONE ||
         order.phase() == wire::EngineOrder::FAILED;
}

bool ReadsWeightStore(const wire::EngineOrder& order) {
  return order.kind() != wire::EngineOrder::CHANGE_ROLE;
}

}  // namespace

bool OrderBook::Submit(const wire::SubmitOrder& command) {
  if (Find(command.order().order_id()) != nullptr) {
    return true;
  }
  if (orders_.size() >= command.max_orders()) {
    const auto finished =
        std::find_if(orders_.begin(), orders_.end(), IsFinished);
    if (finished == orders_.end()) {
      return false;
    }
    orders_.erase(finished);
  }
  wire::EngineOrder order = command.order();
  order.set_phase(wire::EngineOrder::PENDING);
  orders_.push_back(std::move(order));
  return true;
}

bool OrderBook::Start(uint64_t time_ms,
                      uint64_t present,
                      const wire::StartOrder& command) {
  wire::EngineOrder* order = FindMutable(command.order_id());
  if (order == nullptr || command.fencing_number() != present ||
      !MayStart(time_ms, present, command, *order)) {
    return false;
  }
  if (ReadsWeightStore(*order)) {
    weight_store_full_ms_ =
        std::max(weight_store_full_ms_, time_ms) + command.interval_ms();
  }
  order->set_phase(wire::EngineOrder::STARTED);
  order->set_fencing_number(present);
  order->set_started_ms(time_ms);
  order->set_attempts(order->attempts() + 1);
  return true;
}

bool OrderBook::Finish(const wire::FinishOrder& command) {
  wire::EngineOrder* order = FindMutable(command.order_id());
  if (order == nullptr || order->phase() != wire::EngineOrder::STARTED ||
      order->fencing_number() != command.fencing_number()) {
    return false;
  }
  const auto failed =
      command.retry() ? wire::EngineOrder::PENDING : wire::EngineOrder::FAILED;
  order->set_phase(command.done() ? wire::EngineOrder::DONE : failed);
  order->set_error(command.error());
  return true;
}

const wire::EngineOrder* OrderBook::Find(const std::string& order_id) const {
  const auto found = std::find_if(orders_.begin(), orders_.end(),
                                  [&](const wire::EngineOrder& order) {
                                    return order.order_id() == order_id;
                                  });
  return found == orders_.end() ? nullptr : &*found;
}

const wire::EngineOrder* OrderBook::Next(uint64_t time_ms,
                                         uint64_t number,
                                         const wire::StartOrder& limits,
                                         const Filter& allowed) const {
  const auto found = std::find_if(
      orders_.begin(), orders_.end(), [&](const wire::EngineOrder& order) {
        return MayStart(time_ms, number, limits, order) && allowed(order);
      });
  return found == orders_.end() ? nullptr : &*found;
}

void OrderBook::Save(wire::OrderSnapshot* snapshot) const {
  for (const wire::EngineOrder& order : orders_) {
    *snapshot->add_orders() = order;
  }
  snapshot->set_weight_store_full_ms(weight_store_full_ms_);
}

void OrderBook::Load(const wire::OrderSnapshot& snapshot) {
  orders_.assign(snapshot.orders().begin(), snapshot.orders().end());
  weight_store_full_ms_ = snapshot.weight_store_full_ms();
}

wire::EngineOrder* OrderBook::FindMutable(const std::string& order_id) {
  return const_cast<wire::EngineOrder*>(Find(order_id));
}

bool OrderBook::MayStart(uint64_t time_ms,
                         uint64_t number,
                         const wire::StartOrder& limits,
                         const wire::EngineOrder& order) const {
  // An order that an earlier leader started may be started again: the higher
  // fencing number makes the engine's copy of the earlier attempt harmless.
  const bool is_startable = order.phase() == wire::EngineOrder::PENDING ||
                            (order.phase() == wire::EngineOrder::STARTED &&
                             order.fencing_number() < number);
  if (!is_startable) {
    return false;
  }
  // Orders to one server take effect in the order of their submission.
  for (const wire::EngineOrder& earlier : orders_) {
    if (&earlier == &order) {
      break;
    }
    if (earlier.server() == order.server() && !IsFinished(earlier)) {
      return false;
    }
  }
  return !ReadsWeightStore(order) || WeightStoreRateAllows(time_ms, limits);
}

bool OrderBook::WeightStoreRateAllows(uint64_t time_ms,
                                      const wire::StartOrder& limits) const {
  // A token bucket, represented by the time at which it is full again.
  const uint64_t empty_ms = limits.interval_ms() * limits.burst();
  return std::max(weight_store_full_ms_, time_ms) + limits.interval_ms() <=
         time_ms + empty_ms;
}

}  // namespace citronlane
