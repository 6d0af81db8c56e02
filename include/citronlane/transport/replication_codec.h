#ifndef CITRONLANE_TRANSPORT_REPLICATION_CODEC_H_
#define CITRONLANE_TRANSPORT_REPLICATION_CODEC_H_

#include <optional>

#include "citronlane/consensus/message.h"

namespace citronlane {

namespace wire {
class RaftMessage;
}  // namespace wire

/// Encodes a Raft message into `out`, replacing its contents; payloads are
/// moved. Thread safe.
void EncodeMessage(Message message, wire::RaftMessage* out);

/// Decodes a Raft message; payloads are moved out of `in`. Returns nothing if
/// the kind of the message or of an entry is unknown. Thread safe.
std::optional<Message> DecodeMessage(wire::RaftMessage* in);

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_CODEC_H_
