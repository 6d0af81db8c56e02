#ifndef CITRONLANE_CONSENSUS_MESSAGE_H_
#define CITRONLANE_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/consensus/entry.h"

namespace citronlane {

/// What a message between control VMs asks or answers.
enum class MessageKind : uint8_t {
  kPreVote = 0,
  kPreVoteReply = 1,
  kVote = 2,
  kVoteReply = 3,
  kAppend = 4,
  kAppendReply = 5,
  kHeartbeat = 6,
  kHeartbeatReply = 7,
  kSnapshotPart = 8,
  kSnapshotReply = 9,
  kTimeoutNow = 10,
};

/// One message of the consensus protocol. Fields that a kind does not use stay
/// zero.
struct Message {
  MessageKind kind_ = MessageKind::kHeartbeat;
  /// Node ids; an id names one incarnation of a disk and is never reused.
  uint64_t from_ = 0;
  uint64_t to_ = 0;
  /// Incarnation of the sender's disk; see Membership::incarnations_.
  uint64_t incarnation_ = 0;
  uint64_t term_ = 0;
  /// Log position the message refers to: the entry before `entries_`, the
  /// candidate's last entry, the acknowledged entry, or the snapshot's last.
  uint64_t log_index_ = 0;
  uint64_t log_term_ = 0;
  uint64_t commit_ = 0;
  /// Replies: whether the request was refused, and where to try next.
  bool reject_ = false;
  uint64_t hint_index_ = 0;
  uint64_t hint_term_ = 0;
  /// Round in which the leader sent this, echoed by the reply: confirms a
  /// quorum read and the leader lease. In a vote: not 0 when the present leader
  /// asked for the election.
  uint64_t context_ = 0;
  std::vector<Entry> entries_;
  /// Snapshot transfer: one part at `offset_`, and whether it is the last.
  uint64_t offset_ = 0;
  bool last_part_ = false;
  std::string data_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_MESSAGE_H_
