#ifndef CITRONLANE_CONTROL_DETAIL_ORDER_DISPATCHER_H_
#define CITRONLANE_CONTROL_DETAIL_ORDER_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "citronlane/config/pool_config.h"
#include "citronlane/control/control_options.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/orders/order_gate.h"
#include "citronlane/transport/order_sender.h"

namespace citronlane {

/// Sends the orders of the state to their engines while this node leads: each
/// is committed as started under the fencing number, sent once, and its end is
/// committed. Thread safe.
class OrderDispatcher {
 public:
  /// Whether a quorum answered within the leader lease.
  using LeaseHook = std::function<bool()>;

  /// The references must outlive this.
  OrderDispatcher(const ControlOptions& options,
                  ControlState* state,
                  CommandProposer* proposer,
                  LeaseHook has_lease);

  void OnLead(uint64_t number, TimePoint now);
  void OnLeadLost();

  /// Starts at most one order; called often by the leader's thread.
  void Work();

  /// Closes the open connections. Precondition: the replica answers or refuses
  /// what was proposed.
  void Stop();

 private:
  std::optional<wire::EngineOrder> ChooseNext();
  bool MayPropose(const wire::EngineOrder& order) const;
  void Send(const wire::EngineOrder& order, TimePoint proposed);
  void Finish(const wire::EngineOrder& order, OrderSender::Outcome outcome);
  void Close(const std::string& order_id);

  const ControlOptions& options_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const LeaseHook has_lease_;
  mutable std::mutex mutex_;
  OrderGate gate_;
  /// Orders proposed or sent and not over.
  std::set<std::string> open_;
  OrderSender sender_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_ORDER_DISPATCHER_H_
