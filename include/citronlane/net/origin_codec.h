#ifndef CITRONLANE_NET_ORIGIN_CODEC_H_
#define CITRONLANE_NET_ORIGIN_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

struct VersionSightings;

namespace wire::fleet {
class Frame;
class VersionsSeen;
}  // namespace wire::fleet

/// Keys of streams by the service and the version that began them.
using StreamGroups =
    std::map<std::pair<std::string, std::string>, std::vector<uint64_t>>;

/// Returns the streams in StreamOrigins frames of at most 4096 streams each, so
/// that other frames don't wait long behind one. `is_copy` says that a control
/// VM passes them on. Thread safe.
std::vector<wire::fleet::Frame> EncodeOrigins(const StreamGroups& streams,
                                              bool is_copy);

/// Writes the sightings as ages at `now`. Thread safe.
void EncodeSightings(const VersionSightings& sightings,
                     TimePoint now,
                     wire::fleet::VersionsSeen* out);
/// Reads sightings that arrived at `now`. Thread safe.
VersionSightings DecodeSightings(const wire::fleet::VersionsSeen& in,
                                 TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_NET_ORIGIN_CODEC_H_
