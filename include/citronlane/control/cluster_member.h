#ifndef CITRONLANE_CONTROL_CLUSTER_MEMBER_H_
#define CITRONLANE_CONTROL_CLUSTER_MEMBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/time.h"
#include "citronlane/consensus/message.h"
#include "citronlane/control/membership_keeper.h"
#include "citronlane/control/node_identity.h"
#include "citronlane/control/replica.h"
#include "citronlane/serving/node_settings.h"

namespace citronlane {

class ClusterFormation;
class EventLog;
class FleetState;
class FrameChannel;
class FrameLink;
class ReplicaDriver;

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// This VM's membership in the cluster of control VMs: reads its identity from
/// disk, forms the cluster with the other first seeds or joins a running one,
/// reopens a disk that fails for a while, and repairs the membership while it
/// leads. It does not serve gateways or operators. All calls and hooks run on
/// the event loop's thread.
class ClusterMember {
 public:
  struct Hooks {
    /// This VM became the leader and has applied everything committed before,
    /// or it is the leader no longer.
    std::function<void(bool leads)> leads_changed_;
    /// A command or snapshot changed the replicated state.
    std::function<void()> state_changed_;
  };

  /// `io`, `state` and `log` must outlive this object.
  ClusterMember(boost::asio::io_context* io,
                const NodeSettings& settings,
                FleetState* state,
                EventLog* log,
                Hooks hooks);
  ~ClusterMember();
  ClusterMember(const ClusterMember&) = delete;
  ClusterMember& operator=(const ClusterMember&) = delete;

  /// Replaces the seeds after a reload of the settings file; an empty list is
  /// ignored.
  void SetSeeds(std::vector<std::string> seeds);

  /// Handles a frame of another control VM. Returns false when the frame is of
  /// another kind. Replies are sent on `channel`; it may be null for Raft
  /// messages.
  bool HandleFrame(const std::shared_ptr<FrameChannel>& channel,
                   wire::fleet::Frame* frame,
                   TimePoint now);
  /// Sends a frame to the other voters and learners; drops it outside of a
  /// cluster. It is lost when a connection is.
  void SendToMembers(const wire::fleet::Frame& frame);
  /// Opens the disk, forms or joins the cluster and advances consensus. Call at
  /// least every half heartbeat interval (40 ms).
  void Tick(TimePoint now);

  /// Appends a command to the log; see ReplicaDriver::Propose.
  void Propose(std::string command, Replica::ProposeDone done);
  /// Starts a linearizable read; see ReplicaDriver::Read.
  void Read(Replica::ReadDone done);
  /// Transfers the leadership to another voter if this VM has it.
  void TransferLeadership();

  /// Whether this VM is the leader, has applied everything committed before its
  /// term, and holds the leader lease.
  bool Leads(TimePoint now) const;
  /// Term of the replicated log; 0 outside of a cluster.
  uint64_t term() const;
  /// Internal endpoint of the leader; empty when not known.
  std::string leader() const;
  /// Internal endpoints of the voters, or the seed addresses of the settings
  /// while no voter is known.
  std::vector<std::string> members() const;
  /// Whether there are as many voters as the tolerated losses need.
  bool has_all_voters() const;
  /// Whether every member applies the commands of this version beyond full
  /// configurations: each has reported so, now or before an earlier leader.
  bool all_apply_new_commands() const;

 private:
  void OpenDisk(TimePoint now);
  void MakeDriver(const NodeIdentity& identity);
  void CloseDriver();
  void Reopen(const std::string& reason, TimePoint now);

  void StartForming();
  void TickForming(TimePoint now);
  void HandleGreeting(const wire::fleet::Frame& frame, TimePoint now);
  void ReplyToGreeting(FrameChannel* channel, uint64_t round) const;

  void StartJoining();
  void RequestToJoin(TimePoint now);
  void ReplyToJoin(FrameChannel* channel, const wire::fleet::Frame& frame);
  void HandleJoinReply(const wire::fleet::Frame& frame, TimePoint now);
  void LeaveCluster(TimePoint now);

  void MaintainMembership(TimePoint now);
  bool all_report_log_format() const;
  void RecordLogFormat(TimePoint now);
  void RoleChanged(Role role, uint64_t term);
  void ConfirmLeadership(uint64_t term);
  void SetLeads(bool leads);
  void SendMessage(Message message);
  FrameLink* LinkTo(const std::string& endpoint);
  std::string Apply(const std::string& command);
  size_t target_voters() const;

  boost::asio::io_context* const io_;
  const NodeSettings settings_;
  std::vector<std::string> seeds_;
  FleetState* const state_;
  EventLog* const log_;
  const Hooks hooks_;
  std::mt19937_64 random_;
  MembershipKeeper keeper_;

  std::optional<NodeIdentity> identity_;
  std::unique_ptr<ReplicaDriver> driver_;
  TimePoint reopen_at_;
  bool disk_failed_ = false;

  /// Addresses of the first seeds by id, while they form the cluster.
  std::map<uint64_t, std::string> founders_;
  std::unique_ptr<ClusterFormation> formation_;
  uint64_t round_ = 0;
  TimePoint next_request_at_;

  bool is_joining_ = false;
  uint64_t nonce_ = 0;
  size_t next_candidate_ = 0;
  std::string leader_hint_;
  TimePoint last_leader_;

  bool leads_ = false;
  std::map<std::string, std::unique_ptr<FrameLink>> links_;
  /// Channel on which each node's last message arrived. Replies to nodes that
  /// are not yet in the membership are sent on it.
  std::map<uint64_t, std::weak_ptr<FrameChannel>> channels_;
  /// Log format reported by each node's last message.
  std::map<uint64_t, uint32_t> log_formats_;
  /// Whether the command that records the common log format is in progress.
  bool is_recording_format_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CLUSTER_MEMBER_H_
