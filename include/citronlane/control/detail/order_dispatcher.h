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

/// Sends the orders in the replicated state to their engines while this node
/// leads. Each is committed as started under the fencing number, sent once, and
/// its outcome is committed. Thread safe.
class OrderDispatcher {
 public:
  /// Whether a quorum replied within the leader lease.
  using LeaseHook = std::function<bool()>;

  /// The references and pointers must outlive this object.
  OrderDispatcher(const ControlOptions& options,
                  ControlState* state,
                  CommandProposer* proposer,
                  LeaseHook has_lease);

  void OnLeadershipGained(uint64_t number, TimePoint now);
  void OnLeadershipLost();

  /// Starts at most one order. Called periodically by the leader's thread.
  void Work();

  /// Closes the open connections. Precondition: the replica completes or
  /// refuses pending proposals.
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
  /// Ids of the orders that were proposed or sent and have not ended.
  std::set<std::string> open_;
  OrderSender sender_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_ORDER_DISPATCHER_H_
