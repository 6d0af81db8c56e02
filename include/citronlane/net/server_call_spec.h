#ifndef CITRONLANE_NET_SERVER_CALL_SPEC_H_
#define CITRONLANE_NET_SERVER_CALL_SPEC_H_

#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/transport/stage_call_spec.h"

namespace citronlane {

/// A call to "IP:port" that ends at `deadline`. Thread safe.
StageCallSpec SpecFor(std::string_view address,
                      std::string_view method,
                      std::string target,
                      TimePoint deadline);

}  // namespace citronlane

#endif  // CITRONLANE_NET_SERVER_CALL_SPEC_H_
