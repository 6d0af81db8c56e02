#ifndef CITRONLANE_TESTS_SUPPORT_CONSENSUS_SIM_H_
#define CITRONLANE_TESTS_SUPPORT_CONSENSUS_SIM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/consensus/raft_node.h"

namespace citronlane {

/// Deterministic simulation of a cluster of RaftNodes in memory, driven by one
/// clock and one seed. The network delays, drops and duplicates messages and
/// can be partitioned, disks keep only synced data, and nodes may crash before
/// and after every sync. Each violation of a property of the protocol is a line
/// in faults(). Not thread safe.
class ConsensusSim {
 public:
  struct Options {
    uint64_t seed_ = 1;
    size_t voters_ = 3;
    /// Probabilities in 1/1000, for each message (`drop_`, `duplicate_`) or
    /// each sync (`crash_`).
    uint64_t drop_ = 20;
    uint64_t duplicate_ = 20;
    uint64_t crash_ = 4;
    /// Probability in 1/1000 of a restart, for each tick of a node that is
    /// down.
    uint64_t quick_restart_ = 60;
    uint64_t snapshot_interval_ = 14;
  };

  explicit ConsensusSim(const Options& options);

  /// Advances the clock by 5 ms, delivers messages, and ticks every node.
  void Tick();
  void Run(int ticks);

  /// Proposes the next command at every running node; those that do not
  /// consider themselves leader refuse it.
  void Propose();
  /// Proposes a command at one node. Returns its place in the log, or nullopt
  /// if the node is down or not the leader.
  struct Place {
    uint64_t index_ = 0;
    uint64_t term_ = 0;
  };
  std::optional<Place> ProposeAt(uint64_t id, const std::string& payload);
  /// Whether the node has applied the command that was proposed at the place;
  /// false too if another entry was committed there.
  bool HasApplied(uint64_t id, const Place& place) const;
  /// Whether the node holds the leader lease and has applied an entry of its
  /// own term, and so everything committed before.
  bool Leads(uint64_t id) const;
  /// Commands that a running node has applied, in their order.
  std::vector<std::string> AppliedBy(uint64_t id) const;
  /// Starts a read in the same way as Propose.
  void Read();
  /// Proposes a membership at the leader with the highest term. Returns whether
  /// it was accepted.
  bool Change(const Membership& membership);

  void Crash(uint64_t id);
  void Restart(uint64_t id);
  /// Restarts the node with an empty disk under its old id.
  void LoseDisk(uint64_t id);
  /// Stops a node permanently.
  void Retire(uint64_t id);
  /// Starts a node with an empty disk; returns its id.
  uint64_t AddNode();
  /// Cuts the links between the nodes of `side` and all others, in both
  /// directions. Replaces an earlier partition.
  void Partition(const std::set<uint64_t>& side);
  /// Cuts the link between two nodes in both directions.
  void CutLink(uint64_t a, uint64_t b);
  /// Restores all links.
  void Heal();
  /// Ends all faults and restarts the nodes that are down.
  void EndFaults();

  uint64_t Random(uint64_t below);
  bool Chance(uint64_t out_of_1000) { return Random(1000) < out_of_1000; }

  RaftNode* At(uint64_t id) { return nodes_.at(id).raft_.get(); }
  bool IsUp(uint64_t id) const { return nodes_.at(id).raft_ != nullptr; }
  bool HasIntactDisk(uint64_t id) const { return !nodes_.at(id).disk_lost_; }
  bool HasLease(uint64_t id) const;
  /// Returns the leader with the highest term, or 0.
  uint64_t Leader() const;
  std::vector<uint64_t> Ids() const;
  uint64_t now_us() const { return now_us_; }
  uint64_t committed() const { return committed_.size(); }
  uint64_t commands() const { return commands_; }
  /// Reason for which the last refused Change was refused.
  const std::string& refusal() const { return refusal_.message_; }
  const Membership& committed_membership() const { return membership_; }
  uint64_t confirmed_reads() const { return confirmed_reads_; }
  uint64_t installed_snapshots() const { return installed_snapshots_; }
  /// Checks the log matching property between all logs; adds violations to
  /// faults().
  void CheckLogs();
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Disk {
    HardState hard_state_;
    Snapshot snapshot_;
    std::vector<Entry> entries_;
  };
  struct Node {
    uint64_t id_ = 0;
    uint64_t incarnation_ = 0;
    /// Rate of the node's clock in 1/1000 of the simulated time.
    uint64_t clock_rate_ = 1000;
    bool disk_lost_ = false;
    bool retired_ = false;
    Disk disk_;
    std::unique_ptr<RaftNode> raft_;
    uint64_t state_hash_ = 0;
    uint64_t applied_ = 0;
    Role role_ = Role::kFollower;
  };
  struct Committed {
    uint64_t term_ = 0;
    std::string payload_;
    uint64_t state_hash_ = 0;
  };

  TimePoint ClockOf(const Node& node) const;
  void Start(Node* node);
  void Send(const Node& from, const std::vector<Message>& messages);
  void Deliver();
  void ProcessReady(Node* node);
  bool Persist(Node* node, const Ready& ready);
  void StoreEntries(Node* node, const std::vector<Entry>& entries);
  void Apply(Node* node, const Ready& ready);
  void ApplyEntry(Node* node, const Entry& entry);
  void MaybeSnapshot(Node* node);
  bool IsCut(const Message& message) const;
  void CheckVotes(const Node& from, const Message& message);
  void CheckLeaders();
  /// Crashes the node with the probability `crash_`; returns whether it did.
  bool MaybeCrash(Node* node);
  void AddFault(const std::string& line);

  Options options_;
  uint64_t random_;
  uint64_t now_us_ = 1000000;
  std::map<uint64_t, Node> nodes_;
  std::multimap<uint64_t, Message> network_;
  /// Nodes on one side of the partition; empty when there is none.
  std::set<uint64_t> partition_side_;
  std::set<std::pair<uint64_t, uint64_t>> cut_links_;
  uint64_t commands_ = 0;
  uint64_t next_incarnation_ = 100;

  std::map<uint64_t, uint64_t> leader_of_term_;
  /// Candidate by voter and term.
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> votes_;
  /// Committed entries by index, as first applied by any node.
  std::vector<Committed> committed_;
  Error refusal_;
  Membership membership_;
  uint64_t membership_index_ = 1;
  uint64_t next_read_ = 0;
  /// Lowest index that a read may return, by its context.
  std::map<uint64_t, uint64_t> read_floor_;
  uint64_t confirmed_reads_ = 0;
  uint64_t installed_snapshots_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_CONSENSUS_SIM_H_
