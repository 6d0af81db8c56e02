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

/// This VM's part in the cluster of control VMs: finds out who it is, forms the
/// cluster with the other first seeds or joins it, survives a disk that fails
/// for a while, and mends the membership while it leads. On the event loop's
/// thread.
class ClusterMember {
 public:
  struct Hooks {
    /// Leads and has applied all that was committed before; or no longer.
    std::function<void(bool leads)> leads_changed_;
    std::function<void()> state_changed_;
  };

  /// `io`, `state` and `log` outlive the object.
  ClusterMember(boost::asio::io_context* io,
                const NodeSettings& settings,
                FleetState* state,
                EventLog* log,
                Hooks hooks);
  ~ClusterMember();
  ClusterMember(const ClusterMember&) = delete;
  ClusterMember& operator=(const ClusterMember&) = delete;

  /// The settings file names other seeds.
  void SetSeeds(std::vector<std::string> seeds);

  /// Takes a frame of another control VM; false when it is none of theirs.
  bool Take(const std::shared_ptr<FrameChannel>& channel,
            wire::fleet::Frame* frame,
            TimePoint now);
  /// Call every 50 ms.
  void Tick(TimePoint now);

  void Propose(std::string command, Replica::ProposeDone done);
  void Read(Replica::ReadDone done);
  void HandOver();

  /// Leads, and a quorum said so just now.
  bool Leads(TimePoint now) const;
  /// Term of the replicated log; 0 outside of a cluster.
  uint64_t term() const;
  /// Internal endpoint of the leader; empty when not known.
  std::string leader() const;
  /// Internal endpoints of the members; the seeds while there are none.
  std::vector<std::string> members() const;
  bool has_all_voters() const;
  /// Whether every other member has said that it applies commands of this
  /// version's form, beyond whole configurations.
  bool all_apply_new_commands() const;

 private:
  void OpenDisk(TimePoint now);
  void MakeDriver(const NodeIdentity& identity);
  void CloseDriver();
  void Reopen(const std::string& reason, TimePoint now);

  void StartForming();
  void TickForming(TimePoint now);
  void TakeGreeting(const wire::fleet::Frame& frame, TimePoint now);
  void AnswerGreeting(FrameChannel* channel, uint64_t round) const;

  void StartJoining();
  void AskToJoin(TimePoint now);
  void AnswerJoin(FrameChannel* channel, const wire::fleet::Frame& frame);
  void TakeJoinReply(const wire::fleet::Frame& frame, TimePoint now);
  void LeaveCluster(TimePoint now);

  void TickLeading(TimePoint now);
  void RoleChanged(Role role, uint64_t term);
  void ConfirmLead(uint64_t term);
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

  /// While the first seeds form the cluster: addresses by id.
  std::map<uint64_t, std::string> founders_;
  std::unique_ptr<ClusterFormation> formation_;
  uint64_t round_ = 0;
  TimePoint next_ask_;

  bool is_joining_ = false;
  uint64_t nonce_ = 0;
  size_t next_candidate_ = 0;
  std::string leader_hint_;
  TimePoint last_leader_;

  bool leads_ = false;
  std::map<std::string, std::unique_ptr<FrameLink>> links_;
  /// Where messages of nodes that the membership does not name yet came from.
  std::map<uint64_t, std::weak_ptr<FrameChannel>> channels_;
  /// By node, as its last message said.
  std::map<uint64_t, uint32_t> log_formats_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CLUSTER_MEMBER_H_
