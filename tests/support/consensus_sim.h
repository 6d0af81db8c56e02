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

/// Whole cluster of RaftNodes in memory, on one clock and one seed: a network
/// that delays, drops, doubles and parts, disks that keep only what was synced,
/// and a crash before and after every sync. Each broken rule of the protocol
/// is a line in faults().
class ConsensusSim {
 public:
  struct Options {
    uint64_t seed_ = 1;
    size_t voters_ = 3;
    /// Chances out of 1000, for each message or each sync point.
    uint64_t drop_ = 20;
    uint64_t duplicate_ = 20;
    uint64_t crash_ = 4;
    /// For each tick of a node that is down.
    uint64_t quick_restart_ = 60;
    uint64_t snapshot_interval_ = 14;
  };

  explicit ConsensusSim(const Options& options);

  /// One tick of 5 ms: delivers, ticks every node, carries out their work.
  void Tick();
  void Run(int ticks);

  /// Proposes the next command at every node that believes it leads.
  void Propose();
  /// Starts a read at every node that believes it leads.
  void Read();
  /// Proposes a membership at the leader with the highest term.
  bool Change(const Membership& membership);

  void Crash(uint64_t id);
  void Restart(uint64_t id);
  /// The node comes back with an empty disk under its old id.
  void LoseDisk(uint64_t id);
  /// Ends a node for good.
  void Retire(uint64_t id);
  /// Starts a node with an empty disk; returns its id.
  uint64_t AddNode();
  /// Cuts the links between `part` and the rest, both ways.
  void Part(const std::set<uint64_t>& part);
  /// Cuts the link between two nodes, both ways.
  void CutLink(uint64_t a, uint64_t b);
  void Heal();
  /// Ends all faults and restarts what is down.
  void EndFaults();

  uint64_t Random(uint64_t below);
  bool Chance(uint64_t out_of_1000) { return Random(1000) < out_of_1000; }

  RaftNode* At(uint64_t id) { return nodes_.at(id).raft_.get(); }
  bool IsUp(uint64_t id) const { return nodes_.at(id).raft_ != nullptr; }
  bool HasIntactDisk(uint64_t id) const { return !nodes_.at(id).disk_lost_; }
  bool HasLease(uint64_t id) const;
  /// Leader of the highest term, or 0.
  uint64_t Leader() const;
  std::vector<uint64_t> Ids() const;
  uint64_t now_us() const { return now_us_; }
  uint64_t committed() const { return committed_.size(); }
  uint64_t commands() const { return commands_; }
  /// Why the last Change was refused.
  const std::string& refusal() const { return refusal_.message_; }
  const Membership& committed_membership() const { return membership_; }
  uint64_t confirmed_reads() const { return confirmed_reads_; }
  uint64_t installed_snapshots() const { return installed_snapshots_; }
  /// Compares all logs; what is wrong goes to faults().
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
    /// Its clock runs this much per 1000 of the true one.
    uint64_t rate_ = 1000;
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
  void Boot(Node* node);
  void Send(const Node& from, const std::vector<Message>& messages);
  void Deliver();
  void CarryOut(Node* node);
  bool Persist(Node* node, const Ready& ready);
  void StoreEntries(Node* node, const std::vector<Entry>& entries);
  void Apply(Node* node, const Ready& ready);
  void ApplyEntry(Node* node, const Entry& entry);
  void MaybeSnapshot(Node* node);
  bool IsCut(const Message& message) const;
  void NoteVotes(const Node& from, const Message& message);
  void CheckLeaders();
  bool CrashPoint(Node* node);
  void Fault(const std::string& line);

  Options options_;
  uint64_t random_;
  uint64_t now_us_ = 1000000;
  std::map<uint64_t, Node> nodes_;
  std::multimap<uint64_t, Message> network_;
  std::set<uint64_t> part_;
  std::set<std::pair<uint64_t, uint64_t>> cut_links_;
  uint64_t commands_ = 0;
  uint64_t next_incarnation_ = 100;

  std::map<uint64_t, uint64_t> leader_of_term_;
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> votes_;
  std::vector<Committed> committed_;
  Error refusal_;
  Membership membership_;
  uint64_t membership_index_ = 1;
  uint64_t next_read_ = 0;
  std::map<uint64_t, uint64_t> read_floor_;
  uint64_t confirmed_reads_ = 0;
  uint64_t installed_snapshots_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_CONSENSUS_SIM_H_
