#include "citronlane/control/control_node.h"

#include <chrono>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_admin.h"
#include "citronlane/control/detail/control_calls.h"
#include "citronlane/control/detail/control_leader.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/control/detail/order_dispatcher.h"
#include "citronlane/control/detail/vm_list_poller.h"
#include "citronlane/control/replica.h"
#include "citronlane/transport/admin_server.h"
#include "citronlane/transport/control_service.h"
#include "citronlane/transport/listener_log.h"

namespace citronlane {
namespace {

ControlPeer OwnPeer(const ControlOptions& options) {
  const auto own = options.peers_.find(options.replica_.raft_.id_);
  return own == options.peers_.end() ? ControlPeer() : own->second;
}

uint64_t SystemUnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

ControlOptions WithDefaults(ControlOptions options) {
  ReplicaOptions& replica = options.replica_;
  const auto own = options.peers_.find(replica.raft_.id_);
  if (replica.listen_.empty() && own != options.peers_.end()) {
    replica.listen_ = own->second.replication_;
  }
  if (replica.initial_voters_.empty() && !options.join_) {
    for (const auto& [id, peer] : options.peers_) {
      replica.initial_voters_[id] = peer.replication_;
    }
  }
  if (replica.tls_.certificate_.empty()) {
    replica.tls_ = options.internal_tls_;
  }
  return options;
}

}  // namespace

class ControlNode::Impl {
 public:
  Impl(ControlOptions options, ControlNodeHooks hooks);

  bool Start(Error* error);
  void Stop();

  const ControlState& state() const { return state_; }
  ReplicaStatus status() const { return replica_.status(); }

 private:
  ReplicaHooks MakeReplicaHooks();
  AdminContext MakeAdminContext();
  AdminServer::Hooks MakeAdminHooks();
  void Log(std::string_view line) const;

  const ControlOptions options_;
  const ControlNodeHooks hooks_;
  ControlState state_;
  CommandProposer proposer_;
  OrderDispatcher orders_;
  ControlLeader leader_;
  VmListPoller vm_list_;
  ControlCalls calls_;
  Replica replica_;
  ControlService service_;
  ControlAdmin admin_;
  ListenerLog admin_log_;
  AdminServer admin_server_;
};

ControlNode::Impl::Impl(ControlOptions options, ControlNodeHooks hooks)
    : options_(WithDefaults(std::move(options))),
      hooks_(std::move(hooks)),
      state_(options_.config_lease_,
             options_.max_watchers_,
             [this](std::string_view line) { Log(line); }),
      proposer_([this](const std::string& payload, auto done) {
        replica_.Propose(payload, std::move(done));
      }),
      orders_(options_,
              &state_,
              &proposer_,
              [this] { return replica_.status().leader_lease_; }),
      leader_(
          options_,
          &state_,
          &proposer_,
          &orders_,
          [this] { return replica_.status(); },
          [this](std::string_view line) { Log(line); }),
      vm_list_(options_.platform_,
               options_.platform_interval_,
               &state_,
               &proposer_,
               [this](std::string_view line) { Log(line); }),
      calls_(
          options_,
          &state_,
          &proposer_,
          [this] { return replica_.status(); },
          [this](std::string_view line) { Log(line); }),
      replica_(options_.replica_, MakeReplicaHooks()),
      service_(OwnPeer(options_).control_,
               options_.internal_tls_,
               options_.max_pending_calls_,
               calls_.MakeHooks()),
      admin_(MakeAdminContext()),
      admin_log_("administration",
                 {[this](std::string_view line) { Log(line); }, SteadyNow}),
      admin_server_(
          OwnPeer(options_).admin_,
          options_.admin_tls_,
          [this](const AdminRequest& request) {
            return admin_.Handle(request);
          },
          MakeAdminHooks()) {}

AdminServer::Hooks ControlNode::Impl::MakeAdminHooks() {
  AdminServer::Hooks hooks;
  hooks.refuse_ = [this](const AdminRequest& head) {
    return admin_.RefuseHead(head);
  };
  hooks.unread_ = [this](RefusalReason reason) {
    admin_log_.OnRefused(reason);
    if (hooks_.on_unread_) {
      hooks_.on_unread_(reason);
    }
  };
  hooks.place_lost_ = [this](std::string_view phase, Duration stall) {
    admin_log_.OnPlaceLost(phase, stall);
    if (hooks_.on_place_lost_) {
      hooks_.on_place_lost_(phase);
    }
  };
  return hooks;
}

bool ControlNode::Impl::Start(Error* error) {
  if (!replica_.Start(error)) {
    return false;
  }
  leader_.Start();
  vm_list_.Start();
  if (!service_.Start(error) || !admin_server_.Start(error)) {
    Stop();
    return false;
  }
  return true;
}

// The leadership is transferred first, so that the gateways find the next
// leader while this node still replies to them.
void ControlNode::Impl::Stop() {
  replica_.Stop();
  leader_.Stop();
  vm_list_.Stop();
  orders_.Stop();
  admin_server_.Stop();
  state_.feed().EndAll();
  service_.Stop();
}

ReplicaHooks ControlNode::Impl::MakeReplicaHooks() {
  ReplicaHooks hooks;
  hooks.apply_ = [this](uint64_t index, std::string_view payload) {
    return state_.Apply(index, payload);
  };
  hooks.appended_ = [this](uint64_t index, std::string_view payload) {
    state_.OnAppended(index, payload);
  };
  hooks.truncated_ = [this](uint64_t index) { state_.OnTruncated(index); };
  hooks.take_snapshot_ = [this] { return state_.TakeSnapshot(); };
  hooks.install_snapshot_ = [this](uint64_t /*index*/, std::string_view data) {
    state_.InstallSnapshot(data);
  };
  hooks.role_changed_ = [this](Role role, uint64_t term) {
    leader_.OnRole(role, term);
  };
  hooks.log_ = [this](std::string_view line) { Log(line); };
  return hooks;
}

AdminContext ControlNode::Impl::MakeAdminContext() {
  AdminContext context;
  context.options_ = &options_;
  context.state_ = &state_;
  context.proposer_ = &proposer_;
  context.status_ = [this] { return replica_.status(); };
  context.read_ = [this](Replica::ReadDone done) {
    replica_.Read(std::move(done));
  };
  context.add_learner_ = [this](uint64_t id, std::string address,
                                Replica::ProposeDone done) {
    replica_.AddLearner(id, std::move(address), std::move(done));
  };
  context.promote_ = [this](uint64_t id, Replica::ProposeDone done) {
    replica_.Promote(id, std::move(done));
  };
  context.remove_ = [this](uint64_t id, Replica::ProposeDone done) {
    replica_.Remove(id, std::move(done));
  };
  context.fencing_number_ = [this] { return leader_.fencing_number(); };
  context.unix_ms_ = hooks_.unix_ms_ ? hooks_.unix_ms_ : SystemUnixMs;
  context.metrics_text_ = [this] {
    return hooks_.metrics_text_ ? hooks_.metrics_text_() : std::string();
  };
  return context;
}

void ControlNode::Impl::Log(std::string_view line) const {
  if (hooks_.log_) {
    hooks_.log_(line);
  }
}

ControlNode::ControlNode(ControlOptions options, ControlNodeHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

ControlNode::~ControlNode() {
  Stop();
}

bool ControlNode::Start(Error* error) {
  return impl_->Start(error);
}

void ControlNode::Stop() {
  impl_->Stop();
}

uint64_t ControlNode::config_version() const {
  uint64_t version = 0;
  impl_->state().View([&version](const StateMachine& state) {
    version = state.config().version();
  });
  return version;
}

std::string ControlNode::config_digest() const {
  std::string digest;
  impl_->state().View([&digest](const StateMachine& state) {
    digest = state.config().digest();
  });
  return digest;
}

ReplicaStatus ControlNode::replica_status() const {
  return impl_->status();
}

}  // namespace citronlane
