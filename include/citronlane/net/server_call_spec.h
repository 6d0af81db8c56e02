#ifndef CITRONLANE_NET_SERVER_CALL_SPEC_H_
#define CITRONLANE_NET_SERVER_CALL_SPEC_H_

#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/transport/stage_call_spec.h"

namespace citronlane {

/// Returns the spec of an HTTP call to `address` ("IP:port") that ends at
/// `deadline`. When `address` is not of that form, the call fails to connect.
/// Thread safe.
StageCallSpec SpecFor(std::string_view address,
                      std::string_view method,
                      std::string target,
                      TimePoint deadline);

}  // namespace citronlane

#endif  // CITRONLANE_NET_SERVER_CALL_SPEC_H_
