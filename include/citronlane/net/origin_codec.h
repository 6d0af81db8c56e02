#ifndef CITRONLANE_NET_ORIGIN_CODEC_H_
#define CITRONLANE_NET_ORIGIN_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronlane {

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// Keys of streams by the service and the version that began them.
using StreamGroups =
    std::map<std::pair<std::string, std::string>, std::vector<uint64_t>>;

/// Returns the streams in StreamOrigins frames of at most 4096 streams each, so
/// that other frames don't wait long behind one. `is_copy` says that a control
/// VM passes them on. Thread safe.
std::vector<wire::fleet::Frame> EncodeOrigins(const StreamGroups& streams,
                                              bool is_copy);

}  // namespace citronlane

#endif  // CITRONLANE_NET_ORIGIN_CODEC_H_
