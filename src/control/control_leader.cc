#include "citronlane/control/detail/control_leader.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/order_dispatcher.h"

namespace citronlane {
namespace {

constexpr Duration kWorkInterval = std::chrono::milliseconds(50);

void Ignore(const std::optional<wire::StateResult>& /*result*/,
            const Error& /*error*/) {}

}  // namespace

ControlLeader::ControlLeader(const ControlOptions& options,
                             ControlState* state,
                             CommandProposer* proposer,
                             OrderDispatcher* orders,
                             StatusHook status,
                             LogHook log)
    : options_(options),
      state_(state),
      proposer_(proposer),
      status_(std::move(status)),
      log_(std::move(log)),
      orders_(orders) {}

ControlLeader::~ControlLeader() {
  Stop();
}

void ControlLeader::Start() {
  thread_.Start([this] { Run(); });
}

void ControlLeader::Stop() {
  thread_.Stop();
}

void ControlLeader::OnRole(Role role, uint64_t term) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    term_ = role == Role::kLeader ? term : 0;
    acquiring_fencing_number_ = false;
    fencing_number_ = 0;
  }
  proposer_->OnLeadershipLost();
  orders_->OnLeadershipLost();
  wake_.notify_one();
}

uint64_t ControlLeader::fencing_number() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return fencing_number_;
}

void ControlLeader::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!thread_.is_stopping()) {
    const uint64_t term = term_;
    const bool must_acquire =
        term != 0 && fencing_number_ == 0 && !acquiring_fencing_number_;
    acquiring_fencing_number_ = acquiring_fencing_number_ || must_acquire;
    const bool leads = fencing_number_ != 0;
    lock.unlock();
    if (must_acquire) {
      AcquireFencingNumber(term);
    } else if (leads) {
      Work();
    }
    lock.lock();
    wake_.wait_for(lock, kWorkInterval);
  }
}

void ControlLeader::Work() {
  RegisterMissingPeers();
  RemoveSilentGateways();
  orders_->Work();
}

// Proposes the first command of a term. Once it is applied, so is everything
// from before the term.
void ControlLeader::AcquireFencingNumber(uint64_t term) {
  wire::StateCommand command;
  command.mutable_take_lead()->set_node(options_.replica_.raft_.id_);
  command.mutable_take_lead()->set_term(term);
  proposer_->ProposeFirst(
      command, [this, term](const std::optional<wire::StateResult>& result,
                            const Error& /*error*/) {
        uint64_t time_ms = 0;
        state_->View(
            [&](const StateMachine& state) { time_ms = state.time_ms(); });
        const std::lock_guard<std::mutex> lock(mutex_);
        if (term_ != term) {
          return;
        }
        acquiring_fencing_number_ = false;
        if (result && result->fencing_number() != 0) {
          leading_since_ = SteadyNow();
          fencing_number_ = result->fencing_number();
          orders_->OnLeadershipGained(fencing_number_, leading_since_);
          proposer_->OnLeadershipGained(time_ms, leading_since_);
          log_("This node leads with fencing number " +
               std::to_string(result->fencing_number()) + ".");
        }
      });
}

// Registers the addresses in the settings of members that the replicated state
// does not have.
void ControlLeader::RegisterMissingPeers() {
  std::vector<wire::PeerRecord> missing;
  state_->View([&](const StateMachine& state) {
    for (const auto& [node, peer] : options_.peers_) {
      if (state.peers().count(node) == 0) {
        wire::PeerRecord record;
        record.set_node(node);
        record.set_replication(peer.replication_);
        record.set_control(peer.control_);
        record.set_admin(peer.admin_);
        missing.push_back(std::move(record));
      }
    }
  });
  for (const wire::PeerRecord& record : missing) {
    wire::StateCommand command;
    *command.mutable_register_peer()->mutable_peer() = record;
    proposer_->Propose(std::move(command), Ignore);
  }
}

void ControlLeader::RemoveSilentGateways() {
  const TimePoint now = SteadyNow();
  TimePoint since;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    since = leading_since_;
  }
  const auto observations = state_->observations();
  std::vector<wire::ForgetGateway> silent;
  state_->View([&](const StateMachine& state) {
    for (const auto& [name, gateway] : state.gateways().gateways()) {
      const auto found = observations.find(name);
      const bool has_contact =
          found != observations.end() &&
          found->second.incarnation_ == gateway.incarnation();
      const TimePoint last =
          has_contact ? std::max(found->second.last_contact_, since) : since;
      if (now - last > options_.gateway_timeout_) {
        wire::ForgetGateway forget;
        forget.set_name(name);
        forget.set_incarnation(gateway.incarnation());
        forget.set_claim_retention_ms(options_.limits_.claim_retention_ms_);
        silent.push_back(std::move(forget));
      }
    }
  });
  for (const wire::ForgetGateway& forget : silent) {
    log_("Gateway " + forget.name() +
         " renewed no lease in time and is removed from the registry.");
    wire::StateCommand command;
    *command.mutable_forget_gateway() = forget;
    Error error;
    proposer_->ProposeAndWait(std::move(command), options_.gateway_timeout_,
                              &error);
  }
}

}  // namespace citronlane
