#ifndef CITRONLANE_TRANSPORT_REPLICATION_CODEC_H_
#define CITRONLANE_TRANSPORT_REPLICATION_CODEC_H_

#include <optional>

#include "citronlane/consensus/message.h"

namespace citronlane {

namespace wire {
class RaftMessage;
}  // namespace wire

/// Fills `out` with the message, moving its payloads. Thread safe.
void EncodeMessage(Message message, wire::RaftMessage* out);

/// Takes the message out of `in`, moving its payloads; nothing when a kind is
/// unknown. Thread safe.
std::optional<Message> DecodeMessage(wire::RaftMessage* in);

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_CODEC_H_
