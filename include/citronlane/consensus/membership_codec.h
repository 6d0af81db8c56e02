#ifndef CITRONLANE_CONSENSUS_MEMBERSHIP_CODEC_H_
#define CITRONLANE_CONSENSUS_MEMBERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/consensus/membership.h"

namespace citronlane {

/// Encodes the payload of a log entry of kind EntryKind::kMembership. Thread
/// safe.
std::string EncodeMembership(const Membership& membership);

/// Decodes a payload written by EncodeMembership. Returns nullopt and sets
/// `error` when `data` is not a valid encoding. Thread safe.
std::optional<Membership> DecodeMembership(std::string_view data, Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_MEMBERSHIP_CODEC_H_
