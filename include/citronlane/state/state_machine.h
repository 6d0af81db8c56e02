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

/// The replicated state: commands in log order in, results out. The same
/// commands give the same results and the same snapshot bytes on every node;
/// time comes inside the commands. Pure. Not thread safe.
class StateMachine {
 public:
  StateMachine();
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;

  /// Applies a committed command and returns its result. A command that can't
  /// be read has no effect.
  wire::StateResult Apply(uint64_t index, std::string_view payload);

  /// What the last Apply changed.
  const StateEffects& effects() const { return effects_; }

  /// Returns the whole state: a SealedSnapshot in its one possible encoding.
  std::string TakeSnapshot() const;

  /// Replaces the whole state. False and a reason, and nothing changed, when
  /// the bytes are damaged.
  bool InstallSnapshot(std::string_view data, Error* error);

  /// Cluster time of the newest command, in milliseconds.
  uint64_t time_ms() const { return time_ms_; }
  uint64_t applied_index() const { return applied_index_; }
  /// Hash over every command and result so far; nodes that agree on the index
  /// and not on this have diverged.
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
  bool ForgetGateway(const wire::ForgetGateway& command);
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
