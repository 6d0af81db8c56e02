#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/cluster_member.h"
#include "citronlane/control/detail/cluster_formation.h"
#include "citronlane/control/member_address.h"
#include "citronlane/control/replica_driver.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/transport/replication_greeting.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;
using wire::fleet::JoinReply;

/// Short, since a VM with an empty disk must be repaired within a few seconds
/// and a request is cheap.
constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
/// A member without a known leader for several election timeouts may have been
/// removed while it was disconnected.
constexpr Duration kLeaderLostTimeout = std::chrono::milliseconds(2000);

}  // namespace

void ClusterMember::StartForming() {
  std::vector<std::string> endpoints = seeds_;
  std::sort(endpoints.begin(), endpoints.end());
  std::set<uint64_t> others;
  founders_.clear();
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const uint64_t id = i + 1;
    founders_[id] = endpoints[i];
    if (id != identity_->id_) {
      others.insert(id);
    }
  }
  formation_ = std::make_unique<ClusterFormation>(
      identity_->id_, driver_->incarnation(), std::move(others));
}

void ClusterMember::TickForming(TimePoint now) {
  using State = ClusterFormation::State;
  if (formation_->state() == State::kRefused) {
    log_->Write("member", "cluster formation refused",
                {{"reason", formation_->refusal()}});
    LeaveCluster(now);
    return;
  }
  if (formation_->state() == State::kFormed) {
    Error error;
    const auto incarnations = formation_->incarnations();
    formation_.reset();
    if (driver_->Form(founders_, incarnations, now, &error)) {
      log_->Write("member", "cluster formed",
                  {{"voters", static_cast<uint64_t>(founders_.size())}});
    }
    return;
  }
  if (now < next_request_at_) {
    return;
  }
  next_request_at_ = now + kRequestInterval;
  Frame frame;
  frame.mutable_greet()->set_round(++round_);
  for (const auto& [id, endpoint] : founders_) {
    if (id != identity_->id_) {
      LinkTo(endpoint)->Send(frame);
    }
  }
}

void ClusterMember::ReplyToGreeting(FrameChannel* channel,
                                    uint64_t round) const {
  if (!driver_) {
    return;
  }
  Frame frame;
  auto* greeting = frame.mutable_greeting();
  greeting->set_round(round);
  greeting->set_node(driver_->id());
  greeting->set_incarnation(driver_->incarnation());
  greeting->set_formed(driver_->is_formed());
  if (driver_->is_formed()) {
    for (const auto& [id, incarnation] : driver_->voter_incarnations()) {
      (*greeting->mutable_incarnations())[id] = incarnation;
    }
  } else {
    for (const auto& [id, endpoint] : founders_) {
      (*greeting->mutable_incarnations())[id] = 0;
    }
  }
  channel->Send(frame);
}

void ClusterMember::HandleGreeting(const Frame& frame, TimePoint /*now*/) {
  if (!formation_) {
    return;
  }
  const auto& reply = frame.greeting();
  ReplicationGreeting greeting;
  greeting.node_ = reply.node();
  greeting.incarnation_ = reply.incarnation();
  greeting.formed_ = reply.formed();
  greeting.incarnations_.insert(reply.incarnations().begin(),
                                reply.incarnations().end());
  formation_->HandleGreeting(reply.round(), greeting);
}

void ClusterMember::StartJoining() {
  is_joining_ = true;
  nonce_ = random_() | 1;
  log_->Write("member", "joining", {{"nonce", nonce_}});
}

// Sends a join request to the leader, or to the known VMs in turn. A member
// sends one only when it has lost the leader, to learn whether it was removed.
void ClusterMember::RequestToJoin(TimePoint now) {
  const bool lost_leader =
      !is_joining_ && now - last_leader_ >= kLeaderLostTimeout;
  if ((!is_joining_ && !lost_leader) || now < next_request_at_) {
    return;
  }
  next_request_at_ = now + kRequestInterval;
  std::vector<std::string> candidates = members();
  candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
  std::string candidate = std::exchange(leader_hint_, std::string());
  if (candidate.empty()) {
    candidate = candidates[next_candidate_++ % candidates.size()];
  }
  if (candidate == settings_.internal_listen_) {
    return;
  }
  Frame frame;
  auto* join = frame.mutable_join();
  join->set_endpoint(settings_.internal_listen_);
  join->set_nonce(nonce_);
  join->set_node(is_joining_ ? 0 : driver_->id());
  LinkTo(candidate)->Send(frame);
}

void ClusterMember::ReplyToJoin(FrameChannel* channel, const Frame& frame) {
  const auto& join = frame.join();
  Frame answer;
  JoinReply* reply = answer.mutable_joined();
  reply->set_leader(leader());
  if (Leads(SteadyNow())) {
    const RaftNode& node = driver_->node();
    // Only the committed membership counts: a later change may still be undone.
    const Membership& members = node.membership_at(node.commit_index());
    if (join.node() != 0) {
      const bool is_in = members.voters_.count(join.node()) != 0 ||
                         members.learners_.count(join.node()) != 0;
      const bool is_out = !is_in && join.node() <= members.last_id_;
      reply->set_state(is_in    ? JoinReply::STATE_MEMBER
                       : is_out ? JoinReply::STATE_REMOVED
                                : JoinReply::STATE_UNKNOWN);
      reply->set_node(join.node());
    } else {
      const std::string address = MemberAddress(join.endpoint(), join.nonce());
      for (const auto* nodes : {&members.voters_, &members.learners_}) {
        for (const auto& [id, other] : *nodes) {
          if (other == address) {
            reply->set_state(JoinReply::STATE_MEMBER);
            reply->set_node(id);
          }
        }
      }
      keeper_.AddJoinRequest(join.endpoint(), join.nonce());
    }
  }
  channel->Send(answer);
}

void ClusterMember::HandleJoinReply(const Frame& frame, TimePoint now) {
  const JoinReply& reply = frame.joined();
  if (reply.state() == JoinReply::STATE_UNKNOWN) {
    leader_hint_ = reply.leader();
    return;
  }
  if (reply.state() == JoinReply::STATE_REMOVED) {
    if (driver_ && !is_joining_ && reply.node() == driver_->id()) {
      log_->Write("member", "removed from the cluster", {{"id", reply.node()}});
      LeaveCluster(now);
    }
    return;
  }
  if (!is_joining_) {
    return;
  }
  is_joining_ = false;
  identity_ = NodeIdentity{reply.node(), false};
  MakeDriver(*identity_);
  Error error;
  if (!driver_->Open(&error)) {
    Reopen(error.message_, now);
    return;
  }
  if (!driver_->is_formed()) {
    driver_->Join(now);
  }
  disk_failed_ = false;
  last_leader_ = now;
  log_->Write("member", "joined", {{"id", reply.node()}});
}

// Deletes the disk's contents, which belong to a node that is no longer a
// member, and joins again.
void ClusterMember::LeaveCluster(TimePoint now) {
  CloseDriver();
  Error error;
  if (!NodeIdentity::RemoveAll(settings_.data_dir_, &error)) {
    Reopen(error.message_, now);
    return;
  }
  identity_.reset();
  StartJoining();
}

}  // namespace citronlane
