#ifndef CITRONLANE_CONSENSUS_MESSAGE_H_
#define CITRONLANE_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/consensus/entry.h"

namespace citronlane {

/// Type of a Raft message between control VMs.
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

/// One message of the Raft protocol. Fields that a kind does not use stay zero.
struct Message {
  MessageKind kind_ = MessageKind::kHeartbeat;
  /// Node ids of sender and receiver. An id belongs to one disk and is never
  /// reused.
  uint64_t from_ = 0;
  uint64_t to_ = 0;
  /// Incarnation of the sender's disk; see Membership::incarnations_.
  uint64_t incarnation_ = 0;
  uint64_t term_ = 0;
  /// Log position the message refers to: the entry before `entries_`, the
  /// candidate's last entry, the acknowledged entry, or the snapshot's last
  /// entry.
  uint64_t log_index_ = 0;
  uint64_t log_term_ = 0;
  uint64_t commit_ = 0;
  /// Replies: whether the request was rejected, and for an append the position
  /// in the follower's log from which to retry.
  bool reject_ = false;
  uint64_t hint_index_ = 0;
  uint64_t hint_term_ = 0;
  /// Heartbeat round in which the leader sent this, echoed by the reply;
  /// replies of a quorum confirm reads and the leader lease. In a vote request:
  /// not 0 when the current leader started the election by kTimeoutNow.
  uint64_t context_ = 0;
  std::vector<Entry> entries_;
  /// Snapshot transfer: part of the snapshot's data in `data_`, its byte
  /// offset, and whether it is the last part. In a reply, `offset_` is the
  /// number of bytes received.
  uint64_t offset_ = 0;
  bool last_part_ = false;
  std::string data_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_MESSAGE_H_
