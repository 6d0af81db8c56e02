#include "citronlane/control/cluster_member.h"

#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/cluster_formation.h"
#include "citronlane/control/member_address.h"
#include "citronlane/control/replica_driver.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/state/fleet_state.h"
#include "citronlane/transport/replication_codec.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// The slowest supported disk syncs in 150 ms; a leader on it still sends its
/// heartbeats well within the election timeout. After a power loss of all VMs a
/// leader is elected within one to two timeouts.
constexpr Duration kHeartbeat = std::chrono::milliseconds(80);
constexpr Duration kElectionTimeout = std::chrono::milliseconds(450);
constexpr Duration kLeaderLease = std::chrono::milliseconds(380);
/// Log kept in memory that a snapshot already covers; small, since control VMs
/// have little memory.
constexpr uint64_t kKeptEntries = 256;
constexpr size_t kKeptBytes = size_t{2} << 20;
/// Format of the commands that this version writes to the log; see log_format
/// in fleet.proto.
constexpr uint32_t kLogFormat = 1;
/// Delay before a failed disk is opened again.
constexpr Duration kReopenAfter = std::chrono::milliseconds(300);

RaftOptions MakeRaftOptions(uint64_t id) {
  RaftOptions options;
  options.id_ = id;
  options.heartbeat_interval_ = kHeartbeat;
  options.election_timeout_ = kElectionTimeout;
  options.leader_lease_ = kLeaderLease;
  options.kept_entries_ = kKeptEntries;
  options.kept_bytes_ = kKeptBytes;
  return options;
}

MembershipKeeper::Options KeeperOptions(const NodeSettings& settings) {
  MembershipKeeper::Options options;
  options.target_voters_ = size_t{2} * settings.tolerated_losses_ + 1;
  return options;
}

}  // namespace

ClusterMember::ClusterMember(boost::asio::io_context* io,
                             const NodeSettings& settings,
                             FleetState* state,
                             EventLog* log,
                             Hooks hooks)
    : io_(io),
      settings_(settings),
      seeds_(settings.seeds_),
      state_(state),
      log_(log),
      hooks_(std::move(hooks)),
      random_(std::random_device()()),
      keeper_(KeeperOptions(settings)) {}

ClusterMember::~ClusterMember() = default;

void ClusterMember::SetSeeds(std::vector<std::string> seeds) {
  if (seeds != seeds_ && !seeds.empty()) {
    seeds_ = std::move(seeds);
    log_->Write("member", "seeds changed",
                {{"seeds", static_cast<uint64_t>(seeds_.size())}});
  }
}

void ClusterMember::Tick(TimePoint now) {
  if (!driver_ && !is_joining_) {
    if (now >= reopen_at_) {
      OpenDisk(now);
    }
    return;
  }
  if (driver_ && !driver_->failure().empty()) {
    Reopen(driver_->failure(), now);
    return;
  }
  for (const auto& [endpoint, link] : links_) {
    link->CheckAlive(now);
  }
  if (formation_) {
    TickForming(now);
    return;
  }
  if (is_joining_) {
    RequestToJoin(now);
    return;
  }
  driver_->Tick(now);
  if (!driver_->failure().empty()) {
    return;
  }
  if (driver_->node().identity_lost()) {
    LeaveCluster(now);
    return;
  }
  if (driver_->node().leader() != 0) {
    last_leader_ = now;
  }
  MaintainMembership(now);
  RecordLogFormat(now);
  RequestToJoin(now);
}

void ClusterMember::OpenDisk(TimePoint now) {
  Error error;
  identity_ = NodeIdentity::Find(settings_.data_dir_, &error);
  if (!error.message_.empty()) {
    Reopen(error.message_, now);
    return;
  }
  if (!identity_) {
    std::vector<std::string> founders = seeds_;
    std::sort(founders.begin(), founders.end());
    const auto own =
        std::find(founders.begin(), founders.end(), settings_.internal_listen_);
    if (!settings_.first_start_ || own == founders.end()) {
      StartJoining();
      return;
    }
    identity_ =
        NodeIdentity{static_cast<uint64_t>(own - founders.begin()) + 1, true};
  }
  MakeDriver(*identity_);
  if (!driver_->Open(&error)) {
    Reopen(error.message_, now);
    return;
  }
  disk_failed_ = false;
  last_leader_ = now;
  log_->Write("member", "disk opened",
              {{"id", identity_->id_},
               {"member", driver_->is_formed() ? "yes" : "no"}});
  if (driver_->is_formed()) {
    return;
  }
  if (identity_->is_founder_) {
    StartForming();
  } else {
    driver_->Join(now);
  }
}

void ClusterMember::MakeDriver(const NodeIdentity& identity) {
  ReplicaDriver::Options options;
  options.raft_ = MakeRaftOptions(identity.id_);
  options.data_dir_ = identity.Folder(settings_.data_dir_);
  ReplicaDriver::Hooks hooks;
  hooks.send_ = [this](Message message) { SendMessage(std::move(message)); };
  hooks.apply_ = [this](const std::string& command) { return Apply(command); };
  hooks.take_snapshot_ = [this] { return state_->Snapshot(); };
  hooks.install_snapshot_ = [this](const std::string& snapshot) {
    state_->Restore(snapshot);
    hooks_.state_changed_();
  };
  hooks.role_changed_ = [this](Role role, uint64_t term) {
    RoleChanged(role, term);
  };
  driver_ =
      std::make_unique<ReplicaDriver>(std::move(options), std::move(hooks));
}

void ClusterMember::CloseDriver() {
  SetLeads(false);
  driver_.reset();
  formation_.reset();
  channels_.clear();
}

// Logs only the first failure, since a disk may fail for many seconds.
void ClusterMember::Reopen(const std::string& reason, TimePoint now) {
  if (!disk_failed_) {
    disk_failed_ = true;
    log_->Write("member", "disk failed", {{"reason", reason}});
  }
  CloseDriver();
  reopen_at_ = now + kReopenAfter;
}

std::string ClusterMember::Apply(const std::string& command) {
  switch (state_->Apply(command)) {
    case FleetState::Change::kConfig:
      log_->Write("member", "config applied",
                  {{"version", state_->config().version()}});
      break;
    case FleetState::Change::kDrainedDomains:
      log_->Write("member", "drained domains applied",
                  {{"domains", state_->drained().Snapshot()}});
      break;
    case FleetState::Change::kLogFormat:
      log_->Write("member", "log format recorded",
                  {{"format", uint64_t{state_->log_format()}}});
      return {};
    case FleetState::Change::kNothing:
      return {};
  }
  hooks_.state_changed_();
  return {};
}

void ClusterMember::Propose(std::string command, Replica::ProposeDone done) {
  if (!driver_) {
    done(std::nullopt, Error{"this VM is not a member of a cluster"});
    return;
  }
  driver_->Propose(SteadyNow(), std::move(command), std::move(done));
}

void ClusterMember::Read(Replica::ReadDone done) {
  if (!driver_) {
    done(false);
    return;
  }
  driver_->Read(SteadyNow(), std::move(done));
}

void ClusterMember::TransferLeadership() {
  if (driver_) {
    driver_->TransferLeadership(SteadyNow());
  }
}

uint64_t ClusterMember::term() const {
  return driver_ && driver_->is_formed() ? driver_->node().term() : 0;
}

std::string ClusterMember::leader() const {
  if (!driver_ || !driver_->is_formed()) {
    return {};
  }
  const RaftNode& node = driver_->node();
  const auto& voters = node.membership().voters_;
  const auto it = voters.find(node.leader());
  return it == voters.end() ? std::string() : EndpointOf(it->second);
}

std::vector<std::string> ClusterMember::members() const {
  if (!driver_ || !driver_->is_formed() ||
      driver_->node().membership().voters_.empty()) {
    return seeds_;
  }
  std::vector<std::string> members;
  for (const auto& [id, address] : driver_->node().membership().voters_) {
    members.push_back(EndpointOf(address));
  }
  return members;
}

size_t ClusterMember::target_voters() const {
  return size_t{2} * settings_.tolerated_losses_ + 1;
}

bool ClusterMember::has_all_voters() const {
  return driver_ && driver_->is_formed() &&
         driver_->node().membership().voters_.size() >= target_voters();
}

bool ClusterMember::all_apply_new_commands() const {
  return driver_ && driver_->is_formed() &&
         (state_->log_format() >= kLogFormat || all_report_log_format());
}

bool ClusterMember::all_report_log_format() const {
  const Membership& membership = driver_->node().membership();
  for (const auto* nodes : {&membership.voters_, &membership.learners_}) {
    for (const auto& [id, address] : *nodes) {
      const auto format = log_formats_.find(id);
      const bool does_apply =
          format != log_formats_.end() && format->second >= kLogFormat;
      if (id != driver_->id() && !does_apply) {
        return false;
      }
    }
  }
  return true;
}

// A later leader may never hear from a member that is lost by then.
void ClusterMember::RecordLogFormat(TimePoint now) {
  if (is_recording_format_ || state_->log_format() >= kLogFormat ||
      !Leads(now) || !all_report_log_format()) {
    return;
  }
  is_recording_format_ = true;
  driver_->Propose(now, FleetState::LogFormatCommand(kLogFormat),
                   [this](const std::optional<std::string>&, const Error&) {
                     is_recording_format_ = false;
                   });
}

FrameLink* ClusterMember::LinkTo(const std::string& endpoint) {
  auto& link = links_[endpoint];
  if (!link) {
    FrameLink::Hooks hooks;
    hooks.received_ = [this](Frame* frame) {
      const TimePoint now = SteadyNow();
      if (frame->has_greeting()) {
        HandleGreeting(*frame, now);
      } else if (frame->has_joined()) {
        HandleJoinReply(*frame, now);
      } else if (frame->has_raft()) {
        HandleFrame(nullptr, frame, now);
      }
    };
    link = std::make_unique<FrameLink>(io_, endpoint, std::move(hooks));
  }
  return link.get();
}

void ClusterMember::SendMessage(Message message) {
  const Membership& membership = driver_->node().membership();
  const uint64_t to = message.to_;
  Frame frame;
  EncodeMessage(std::move(message), frame.mutable_raft());
  frame.set_log_format(kLogFormat);
  for (const auto* nodes : {&membership.voters_, &membership.learners_}) {
    const auto it = nodes->find(to);
    if (it != nodes->end()) {
      LinkTo(EndpointOf(it->second))->Send(frame);
      return;
    }
  }
  // A new learner has no membership until its leader's log arrives, and replies
  // on the channel of the request.
  if (const auto channel = channels_[to].lock()) {
    channel->Send(frame);
  }
}

void ClusterMember::SendToMembers(const Frame& frame) {
  if (!driver_ || !driver_->is_formed()) {
    return;
  }
  const Membership& membership = driver_->node().membership();
  for (const auto* nodes : {&membership.voters_, &membership.learners_}) {
    for (const auto& [id, address] : *nodes) {
      if (id != driver_->id()) {
        LinkTo(EndpointOf(address))->Send(frame);
      }
    }
  }
}

bool ClusterMember::HandleFrame(const std::shared_ptr<FrameChannel>& channel,
                                Frame* frame,
                                TimePoint now) {
  if (frame->has_greet()) {
    ReplyToGreeting(channel.get(), frame->greet().round());
    return true;
  }
  if (frame->has_join()) {
    ReplyToJoin(channel.get(), *frame);
    return true;
  }
  if (!frame->has_raft()) {
    return false;
  }
  const auto message = DecodeMessage(frame->mutable_raft());
  if (!message || !driver_ || !driver_->is_formed()) {
    return true;
  }
  if (channel) {
    channels_[message->from_] = channel;
  }
  log_formats_[message->from_] = frame->log_format();
  keeper_.RecordContact(message->from_, now);
  driver_->Step(now, *message);
  return true;
}

}  // namespace citronlane
