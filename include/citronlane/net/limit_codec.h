#ifndef CITRONLANE_NET_LIMIT_CODEC_H_
#define CITRONLANE_NET_LIMIT_CODEC_H_

#include "citronlane/base/time.h"
#include "citronlane/routing/server_limit.h"

namespace citronlane {

namespace wire::fleet {
class ServerLimit;
}  // namespace wire::fleet

/// The time of an observation is sent as its age. Both functions are thread
/// safe.
void EncodeLimit(const ServerLimit& limit,
                 TimePoint now,
                 wire::fleet::ServerLimit* out);
ServerLimit DecodeLimit(const wire::fleet::ServerLimit& in, TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_NET_LIMIT_CODEC_H_
