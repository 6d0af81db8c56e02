#ifndef CITRONLANE_STATE_STATE_MACHINE_H_
#define CITRONLANE_STATE_STATE_MACHINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/fleet/server_states.h"
#include "citronlane/orders/fencing_counter.h"
#include "citronlane/orders/order_book.h"
#include "citronlane/state/claim_table.h"
#include "citronlane/state/configuration_history.h"
#include "citronlane/state/gateway_registry.h"
#include "citronlane/state/refusal_journal.h"
#include "citronlane/state/spend_ledger.h"
#include "citronlane/state/state_effects.h"
#include "state.pb.h"

namespace citronlane {

/// The replicated state machine of the control VMs: applies commands in log
/// order. The same commands give the same results and the same snapshot bytes
/// on every node, so it reads no clock and does no I/O; time comes inside the
/// commands. Not thread safe.
class StateMachine {
 public:
  StateMachine();
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;

  /// Applies the committed command at `index` and returns its result. A command
  /// that can not be parsed has no effect but counts in history_hash().
  wire::StateResult Apply(uint64_t index, std::string_view payload);

  /// Changes made by the last Apply.
  const StateEffects& effects() const { return effects_; }

  /// Returns the complete state as an encoded SealedSnapshot; equal states have
  /// equal bytes.
  std::string TakeSnapshot() const;

  /// Replaces the complete state. Returns false, sets `error` and changes
  /// nothing when `data` is damaged.
  bool InstallSnapshot(std::string_view data, Error* error);

  /// Cluster time of the newest command, in milliseconds.
  uint64_t time_ms() const { return time_ms_; }
  uint64_t applied_index() const { return applied_index_; }
  /// Hash over all commands and results so far. Nodes with the same applied
  /// index and different hashes have diverged.
  uint64_t history_hash() const { return history_hash_; }

  const ConfigurationHistory& config() const { return config_; }
  const ClaimTable& claims() const { return claims_; }
  const GatewayRegistry& gateways() const { return gateways_; }
  const SpendLedger& spend() const { return spend_; }
  const RefusalJournal& refusals() const { return refusals_; }
  const ServerStates& servers() const { return servers_; }
  const FencingCounter& fencing() const { return fencing_; }
  const OrderBook& orders() const { return orders_; }
  /// Control VMs by node id.
  const std::map<uint64_t, wire::PeerRecord>& peers() const { return peers_; }

 private:
  wire::StateResult Execute(uint64_t index, const wire::StateCommand& command);
  wire::ConfigResult ApplyChange(uint64_t index,
                                 const wire::ConfigChange& change);
  bool RegisterGateway(const wire::RegisterGateway& command);
  bool RemoveGateway(const wire::ForgetGateway& command);
  bool MergeServers(const wire::ServerCommand& command);
  void Load(const wire::StateSnapshot& snapshot);

  uint64_t applied_index_ = 0;
  uint64_t time_ms_ = 0;
  uint64_t history_hash_ = 0;
  ConfigurationHistory config_;
  GatewayRegistry gateways_;
  ClaimTable claims_;
  SpendLedger spend_;
  RefusalJournal refusals_;
  ServerStates servers_;
  FencingCounter fencing_;
  OrderBook orders_;
  StateEffects effects_;
  std::map<uint64_t, wire::PeerRecord> peers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_STATE_MACHINE_H_
