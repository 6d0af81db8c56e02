#ifndef CITRONLANE_ROUTING_STREAM_VERSION_H_
#define CITRONLANE_ROUTING_STREAM_VERSION_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

class VersionHistory;
struct OnlyVersion;

/// Longest time from the first event of a stream to the last attempt of its
/// caller to take it up: a caller makes a few attempts within its own time
/// limit, which may be longer than the present timeout of its route.
constexpr Duration kMaxStreamAge = std::chrono::seconds(60);

/// Returns the version that began a stream of the service which nobody
/// remembers, if only one can have: no other one was listed within the longest
/// time that a stream may be taken up after it began. `here` is what this
/// process's own lists have shown, and `elsewhere` what the leader's have.
/// Nothing without an answer of the leader, while a list is too old to tell, or
/// if the lists of the two differ. `timeout` is that of the stream's route:
/// each attempt may last that long. Pure. Thread safe.
std::optional<std::string> OnlyPossibleVersion(
    std::string_view service,
    Duration timeout,
    const VersionHistory& here,
    const std::optional<OnlyVersion>& elsewhere,
    TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_STREAM_VERSION_H_
