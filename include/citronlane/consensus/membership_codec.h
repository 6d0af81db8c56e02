#ifndef CITRONLANE_CONSENSUS_MEMBERSHIP_CODEC_H_
#define CITRONLANE_CONSENSUS_MEMBERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/consensus/membership.h"

namespace citronlane {

/// Returns the payload of a log entry of kind kMembership. Thread safe.
std::string EncodeMembership(const Membership& membership);

/// Reads what EncodeMembership wrote; nothing and a reason when it is damaged.
/// Thread safe.
std::optional<Membership> DecodeMembership(std::string_view data, Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_MEMBERSHIP_CODEC_H_
