#include "citronlane/control/detail/control_state.h"

#include <xxhash.h>

#include <optional>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/json/fault.h"

namespace citronlane {
namespace {

/// Interval at which a waiting call checks the clock.
constexpr Duration kClockCheckInterval = std::chrono::milliseconds(50);

}  // namespace

ControlState::ControlState(Duration config_lease,
                           size_t max_watchers,
                           LogHook log)
    : log_(std::move(log)),
      tracker_(config_lease, SteadyNow()),
      config_(std::make_shared<const ClusterConfig>()),
      feed_(max_watchers) {}

std::string ControlState::Apply(uint64_t index, std::string_view payload) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_broken_) {
    return std::string();
  }
  const wire::StateResult result = state_.Apply(index, payload);
  unapplied_.OnApplied(index);
  PublishEffects(state_.effects());
  changed_.notify_all();
  return result.SerializeAsString();
}

void ControlState::OnAppended(uint64_t index, std::string_view payload) {
  const std::lock_guard<std::mutex> lock(mutex_);
  unapplied_.OnAppended(index, payload);
}

void ControlState::OnTruncated(uint64_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  unapplied_.OnTruncated(index);
}

std::string ControlState::TakeSnapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.TakeSnapshot();
}

void ControlState::InstallSnapshot(std::string_view data) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Error error;
  if (!state_.InstallSnapshot(data, &error)) {
    is_broken_ = true;
    log_("The received snapshot is refused: " + error.message_);
    return;
  }
  unapplied_.OnApplied(state_.applied_index());
  const TimePoint now = SteadyNow();
  for (const auto& [name, gateway] : state_.gateways().gateways()) {
    tracker_.OnRegistered(name, gateway.incarnation());
    RecordRegistration(name, gateway.incarnation(), now);
  }
  ParseConfig();
  if (state_.config().version() > 0) {
    tracker_.OnCommitted(state_.config().version(), now);
  }
  feed_.EndAll();
}

void ControlState::View(
    const std::function<void(const StateMachine&)>& view) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  view(state_);
}

bool ControlState::is_broken() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_broken_;
}

wire::LeaseReply ControlState::RenewLease(const wire::LeaseRequest& request,
                                          const ReplicaStatus& status) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const wire::GatewayId& gateway = request.gateway();
  const bool registered =
      state_.gateways().Contains(gateway.name(), gateway.incarnation()) &&
      !unapplied_.RemovesGateway(gateway.name(), gateway.incarnation());
  wire::LeaseReply reply;
  reply.set_node(status.id_);
  reply.set_voter(registered && !is_broken_ && !status.failed_ &&
                  status.membership_.voters_.count(status.id_) > 0);
  reply.set_newest_version(unapplied_.NewestVersion(state_.config().version()));
  for (const auto& [id, address] : status.membership_.voters_) {
    reply.add_voters(id);
  }
  reply.set_unregistered(!registered);
  AddPeers(request, &reply);
  if (registered) {
    RecordLeaseRequest(request);
  }
  return reply;
}

ConfigFeed::Stream* ControlState::OpenWatch(uint64_t version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return feed_.Open(version, [this, version] { return CatchUp(version); });
}

std::shared_ptr<const ClusterConfig> ControlState::config() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return config_;
}

InForceStatus ControlState::StatusOf(uint64_t version) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return tracker_.StatusOf(version, SteadyNow());
}

InForceStatus ControlState::WaitInForce(uint64_t version,
                                        TimePoint until) const {
  std::unique_lock<std::mutex> lock(mutex_);
  InForceStatus status = tracker_.StatusOf(version, SteadyNow());
  while (!status.in_force_ && SteadyNow() < until) {
    changed_.wait_for(lock, kClockCheckInterval);
    status = tracker_.StatusOf(version, SteadyNow());
  }
  return status;
}

std::map<std::string, GatewayObservation> ControlState::observations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return observations_;
}

void ControlState::PublishEffects(const StateEffects& effects) {
  const TimePoint now = SteadyNow();
  for (const auto& [name, incarnation] : effects.registered_gateways_) {
    tracker_.OnRegistered(name, incarnation);
    RecordRegistration(name, incarnation, now);
  }
  for (const auto& [name, incarnation] : effects.removed_gateways_) {
    tracker_.OnRemoved(name, incarnation, now);
    const auto observation = observations_.find(name);
    if (observation != observations_.end() &&
        observation->second.incarnation_ == incarnation) {
      observations_.erase(observation);
    }
  }
  wire::ConfigUpdate update;
  update.set_version(state_.config().version());
  if (effects.config_changed_) {
    ParseConfig();
    tracker_.OnCommitted(state_.config().version(), now);
    const wire::ConfigRecord& record = state_.config().history().back();
    update.set_log_index(record.log_index());
    update.set_digest(record.digest());
    update.set_base_version(record.version() - 1);
    update.set_patch(record.forward_patch());
  }
  for (const std::string& server : effects.changed_servers_) {
    AddServer(server, &update);
  }
  if (effects.config_changed_ || !effects.changed_servers_.empty()) {
    feed_.Publish(update);
  }
}

wire::ConfigUpdate ControlState::CatchUp(uint64_t version) const {
  const ConfigurationHistory& config = state_.config();
  wire::ConfigUpdate update;
  update.set_version(config.version());
  update.set_digest(config.digest());
  for (const auto& [server, state] : state_.servers().states()) {
    if (state.leaving_) {
      AddServer(server, &update);
    }
  }
  if (version >= config.version()) {
    return update;
  }
  update.set_log_index(config.history().back().log_index());
  const std::optional<std::string> patch = config.PatchFrom(version);
  if (patch) {
    update.set_base_version(version);
    update.set_patch(*patch);
  } else {
    update.set_document(config.document());
  }
  return update;
}

void ControlState::ParseConfig() {
  std::vector<Fault> faults;
  std::optional<ClusterConfig> config = ParseClusterConfig(
      state_.config().document(), state_.config().version(), &faults);
  if (config) {
    config_ = std::make_shared<const ClusterConfig>(*std::move(config));
  } else if (state_.config().version() > 0) {
    log_("The committed configuration is not valid for this version.");
  }
}

void ControlState::AddServer(const std::string& server,
                             wire::ConfigUpdate* update) const {
  const ServerState& state = state_.servers().states().find(server)->second;
  wire::LeavingServer* entry = update->add_leaving();
  entry->set_server(server);
  entry->set_incarnation(state.incarnation_);
  entry->set_live(!state.leaving_);
}

// Registration counts as contact: a new gateway gets the full time to renew its
// first lease.
void ControlState::RecordRegistration(const std::string& gateway,
                                      uint64_t incarnation,
                                      TimePoint now) {
  GatewayObservation& observation = observations_[gateway];
  if (observation.incarnation_ != incarnation) {
    observation = GatewayObservation();
    observation.incarnation_ = incarnation;
    observation.since_ = now;
  }
  observation.last_contact_ = now;
}

void ControlState::RecordLeaseRequest(const wire::LeaseRequest& request) {
  const TimePoint now = SteadyNow();
  const wire::GatewayId& gateway = request.gateway();
  tracker_.OnReport(gateway.name(), gateway.incarnation(), request.version());
  GatewayObservation& observation = observations_[gateway.name()];
  if (observation.incarnation_ != gateway.incarnation() ||
      observation.version_ != request.version()) {
    observation.since_ = now;
    changed_.notify_all();
  }
  observation.incarnation_ = gateway.incarnation();
  observation.failure_domain_ = gateway.failure_domain();
  observation.version_ = request.version();
  observation.last_contact_ = now;
}

void ControlState::AddPeers(const wire::LeaseRequest& request,
                            wire::LeaseReply* reply) const {
  for (const auto& [node, peer] : state_.peers()) {
    wire::ControlAddress* address = reply->add_peers();
    address->set_node(node);
    address->set_address(peer.control());
  }
  uint64_t hash = 0;
  for (const wire::ControlAddress& address : reply->peers()) {
    const std::string text = address.SerializeAsString();
    hash = XXH64(text.data(), text.size(), hash);
  }
  reply->set_peers_hash(hash);
  if (hash == request.peers_hash()) {
    reply->clear_peers();
  }
}

}  // namespace citronlane
