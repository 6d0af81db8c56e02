#include "citronlane/state/state_machine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "citronlane/base/sha256.h"

namespace citronlane {
namespace {

uint64_t ExtendHash(uint64_t hash, std::string_view data) {
  return XXH64(data.data(), data.size(), hash);
}

}  // namespace

StateMachine::StateMachine()
    : claims_([this](const std::string& gateway, uint64_t incarnation) {
        return gateways_.Contains(gateway, incarnation);
      }) {}

wire::StateResult StateMachine::Apply(uint64_t index,
                                      std::string_view payload) {
  wire::StateCommand command;
  wire::StateResult result;
  applied_index_ = index;
  effects_ = StateEffects();
  if (command.ParseFromArray(payload.data(),
                             static_cast<int>(payload.size()))) {
    time_ms_ = std::max(time_ms_, command.time_ms());
    claims_.Expire(time_ms_);
    result = Execute(index, command);
  }
  history_hash_ = ExtendHash(history_hash_, payload);
  history_hash_ = ExtendHash(history_hash_, result.SerializeAsString());
  return result;
}

std::string StateMachine::TakeSnapshot() const {
  wire::StateSnapshot snapshot;
  snapshot.set_applied_index(applied_index_);
  snapshot.set_time_ms(time_ms_);
  snapshot.set_history_hash(history_hash_);
  config_.Save(snapshot.mutable_config());
  claims_.Save(snapshot.mutable_claims());
  gateways_.Save(snapshot.mutable_gateways());
  for (const auto& peer : peers_) {
    *snapshot.add_peers() = peer.second;
  }
  spend_.Save(snapshot.mutable_spend());
  refusals_.Save(snapshot.mutable_refusals());
  for (const auto& [server, state] : servers_.states()) {
    wire::ServerRecord* record = snapshot.mutable_servers()->add_servers();
    record->set_server(server);
    record->set_incarnation(state.incarnation_);
    record->set_leaving(state.leaving_);
  }
  fencing_.Save(snapshot.mutable_fencing());
  orders_.Save(snapshot.mutable_orders());
  wire::SealedSnapshot sealed;
  sealed.set_state(snapshot.SerializeAsString());
  sealed.set_sha256(Sha256(sealed.state()));
  return sealed.SerializeAsString();
}

bool StateMachine::InstallSnapshot(std::string_view data, Error* error) {
  wire::SealedSnapshot sealed;
  wire::StateSnapshot snapshot;
  if (!sealed.ParseFromArray(data.data(), static_cast<int>(data.size())) ||
      sealed.sha256() != Sha256(sealed.state()) ||
      !snapshot.ParseFromString(sealed.state())) {
    error->message_ = "The snapshot is damaged: its SHA-256 does not match.";
    return false;
  }
  if (!config_.Load(snapshot.config(), error)) {
    return false;
  }
  Load(snapshot);
  return true;
}

wire::StateResult StateMachine::Execute(uint64_t index,
                                        const wire::StateCommand& command) {
  wire::StateResult result;
  result.set_done(true);
  switch (command.kind_case()) {
    case wire::StateCommand::kChange:
      *result.mutable_config() = ApplyChange(index, command.change());
      break;
    case wire::StateCommand::kClaim:
      *result.mutable_claim() = claims_.Claim(command.claim());
      break;
    case wire::StateCommand::kFinish:
      result.set_done(claims_.Finish(time_ms_, command.finish()));
      break;
    case wire::StateCommand::kRegisterGateway:
      result.set_done(RegisterGateway(command.register_gateway()));
      break;
    case wire::StateCommand::kForgetGateway:
      result.set_done(RemoveGateway(command.forget_gateway()));
      break;
    case wire::StateCommand::kRegisterPeer:
      peers_[command.register_peer().peer().node()] =
          command.register_peer().peer();
      break;
    case wire::StateCommand::kReport:
      if (!spend_.IsResend(command.report())) {
        refusals_.Add(command.report());
      }
      for (wire::SpendShare& share :
           spend_.Report(time_ms_, command.report())) {
        *result.add_shares() = std::move(share);
      }
      break;
    case wire::StateCommand::kServers:
      result.set_done(MergeServers(command.servers()));
      break;
    case wire::StateCommand::kTakeLead:
      result.set_fencing_number(fencing_.Take(command.take_lead().node(),
                                              command.take_lead().term()));
      break;
    case wire::StateCommand::kSubmitOrder:
      result.set_done(orders_.Submit(command.submit_order()));
      break;
    case wire::StateCommand::kStartOrder:
      result.set_done(
          orders_.Start(time_ms_, fencing_.present(), command.start_order()));
      break;
    case wire::StateCommand::kFinishOrder:
      result.set_done(orders_.Finish(command.finish_order()));
      break;
    case wire::StateCommand::KIND_NOT_SET:
      result.set_done(false);
      break;
  }
  return result;
}

wire::ConfigResult StateMachine::ApplyChange(uint64_t index,
                                             const wire::ConfigChange& change) {
  const uint64_t before = config_.version();
  wire::ConfigResult result = config_.Apply(index, time_ms_, change);
  effects_.config_changed_ = config_.version() != before;
  return result;
}

bool StateMachine::RegisterGateway(const wire::RegisterGateway& command) {
  uint64_t replaced = 0;
  const wire::GatewayId& gateway = command.gateway();
  if (!gateways_.Register(gateway, &replaced)) {
    return false;
  }
  effects_.registered_gateways_.emplace_back(gateway.name(),
                                             gateway.incarnation());
  if (replaced != 0) {
    effects_.removed_gateways_.emplace_back(gateway.name(), replaced);
    claims_.OnOwnerLost(time_ms_, gateway.name(), replaced,
                        command.claim_retention_ms());
  }
  return true;
}

bool StateMachine::RemoveGateway(const wire::ForgetGateway& command) {
  if (!gateways_.Remove(command.name(), command.incarnation())) {
    return false;
  }
  claims_.OnOwnerLost(time_ms_, command.name(), command.incarnation(),
                      command.claim_retention_ms());
  spend_.OnGatewayRemoved(command.name());
  effects_.removed_gateways_.emplace_back(command.name(),
                                          command.incarnation());
  return true;
}

bool StateMachine::MergeServers(const wire::ServerCommand& command) {
  for (const wire::ServerRecord& record : command.servers()) {
    const ServerState reported{record.incarnation(), record.leaving()};
    if (servers_.Merge(record.server(), reported)) {
      effects_.changed_servers_.push_back(record.server());
    }
  }
  return !effects_.changed_servers_.empty();
}

void StateMachine::Load(const wire::StateSnapshot& snapshot) {
  applied_index_ = snapshot.applied_index();
  time_ms_ = snapshot.time_ms();
  history_hash_ = snapshot.history_hash();
  claims_.Load(snapshot.claims());
  gateways_.Load(snapshot.gateways());
  peers_.clear();
  for (const wire::PeerRecord& peer : snapshot.peers()) {
    peers_[peer.node()] = peer;
  }
  spend_.Load(snapshot.spend());
  refusals_.Load(snapshot.refusals());
  servers_.Clear();
  for (const wire::ServerRecord& record : snapshot.servers().servers()) {
    servers_.Merge(record.server(), {record.incarnation(), record.leaving()});
  }
  fencing_.Load(snapshot.fencing());
  orders_.Load(snapshot.orders());
}

}  // namespace citronlane
